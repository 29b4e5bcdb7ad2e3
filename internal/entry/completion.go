package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/internal/catalog"
	"github.com/junctionfold/junctionfold/internal/forward"
	"github.com/junctionfold/junctionfold/internal/router"
	"github.com/junctionfold/junctionfold/schema"
)

// body reads the request's body within the limit. It answers one that does not
// fit.
func (c *call) body() ([]byte, bool) {
	limit := c.door.cfg.Settings.MaxBodyBytes
	data, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		c.fail(refusal(forward.CodeTooLarge, http.StatusRequestEntityTooLarge, 0,
			"the body has more than "+strconv.FormatInt(limit, 10)+" bytes"))
		return nil, false
	}
	if err != nil {
		c.fail(refusal(forward.CodeBadRequest, http.StatusBadRequest, 0, "the body could not be read"))
		return nil, false
	}
	return data, true
}

// completion serves both completion paths.
func (d *Server) completion(w http.ResponseWriter, r *http.Request) {
	c, ok := d.begin(w, r)
	if !ok {
		return
	}
	body, ok := c.body()
	if !ok {
		return
	}
	req, problem := parseCompletion(body)
	if problem != nil {
		c.failParam(refusal(forward.CodeBadRequest, http.StatusBadRequest, 0, problem.text), problem.param)
		return
	}
	model, ok := c.resolve(req.model)
	if !ok || !c.allow(
		keyedRate{key: "caller/" + c.caller(), what: "the caller", perSecond: c.catalog.Limits.GetCallerRateLimit()},
		keyedRate{key: "adapter/" + model.Adapter.Name, what: "the adapter", perSecond: model.RateLimit},
	) {
		return
	}
	ctx, cancel := c.deadline()
	defer cancel()
	c.serve(ctx, c.completionJob(model, req, body))
}

// completionRequest is what routing needs of a completion request.
type completionRequest struct {
	model  string
	stream bool
}

// badField is what is wrong with a request body.
type badField struct {
	param string
	text  string
}

func parseCompletion(body []byte) (completionRequest, *badField) {
	if !gjson.ValidBytes(body) {
		return completionRequest{}, &badField{text: jsonProblem(body)}
	}
	root := gjson.ParseBytes(body)
	if !root.IsObject() {
		return completionRequest{}, &badField{text: "the body must be a JSON object"}
	}
	model, stream := root.Get("model"), root.Get("stream")
	if model.Type != gjson.String || model.Str == "" {
		return completionRequest{}, &badField{param: "model", text: "model must name an adapter as name@version, or a base model"}
	}
	if stream.Exists() && !stream.IsBool() && stream.Type != gjson.Null {
		return completionRequest{}, &badField{param: "stream", text: "stream must be true or false"}
	}
	return completionRequest{model: model.Str, stream: stream.Bool()}, nil
}

// jsonProblem says where a body stops being JSON.
func jsonProblem(body []byte) string {
	var v any
	err := json.Unmarshal(body, &v)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return "the body is not JSON: byte " + strconv.FormatInt(syntax.Offset, 10) + ": " + syntax.Error()
	}
	return "the body is not JSON"
}

// resolve finds the model. It answers a name that the bundle does not hold.
func (c *call) resolve(name string) (catalog.Model, bool) {
	model, kind := c.catalog.Resolve(name)
	switch kind {
	case catalog.OK:
		return model, true
	case catalog.NoVersion:
		c.failParam(refusal(forward.CodeVersionRequired, http.StatusBadRequest, 0,
			"name the version too, as "+name+"@VERSION"), "model")
	case catalog.UnknownVersion:
		c.failParam(refusal(forward.CodeUnknownModel, http.StatusNotFound, 0, "the adapter has no such version: "+name), "model")
	default:
		c.failParam(refusal(forward.CodeUnknownModel, http.StatusNotFound, 0, "no such model: "+name), "model")
	}
	return catalog.Model{}, false
}

func (c *call) completionJob(m catalog.Model, req completionRequest, body []byte) *job {
	return &job{
		forward: &schema.Forward{
			RequestId: c.id, Adapter: m.Adapter.Name, AdapterVersion: m.Adapter.Version,
			BundleVersion: c.catalog.Version, Method: http.MethodPost, Path: c.r.URL.Path,
			Body: body, Stream: req.stream,
		},
		key: m.Key,
		pick: func(avoid []coord.TargetID) (router.Route, bool) {
			return c.door.cfg.Router.PickEngine(m, avoid)
		},
		executor: func(r router.Route) forward.Executor { return c.door.cfg.Owner(r.Owner) },
	}
}

// modelObject is a model as OpenAI clients read it.
type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func newModelObject(id string) modelObject {
	return modelObject{ID: id, Object: "model", OwnedBy: "junctionfold"}
}

func (d *Server) models(w http.ResponseWriter, r *http.Request) {
	c, ok := d.begin(w, r)
	if !ok {
		return
	}
	list := struct {
		Object string        `json:"object"`
		Data   []modelObject `json:"data"`
	}{Object: "list", Data: []modelObject{}}
	c.catalog.Models(func(name string) { list.Data = append(list.Data, newModelObject(name)) })
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	writeJSON(w, list)
}

func (d *Server) model(w http.ResponseWriter, r *http.Request) {
	c, ok := d.begin(w, r)
	if !ok {
		return
	}
	if _, ok := c.resolve(r.PathValue("model")); ok {
		writeJSON(w, newModelObject(r.PathValue("model")))
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
