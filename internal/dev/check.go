package dev

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
)

// CheckResult is the outcome of one check.
type CheckResult struct {
	Name   string `json:"name"`
	OK     bool   `json:"ok"`
	Detail string `json:"detail,omitempty"`
	TookMs int64  `json:"took_ms"`
}

// check is one thing that must hold.
type check struct {
	name string
	run  func(context.Context, *Cluster) error
}

// checks are what dev --check asks of a cluster.
var checks = []check{
	{"streamed_chat_on_named_version", checkStreamed},
	{"adapter_not_loaded_yet", checkCold},
	{"concurrent_callers_get_own_answers", checkConcurrent},
	{"unknown_adapter_or_version", checkUnknown},
	{"plain_service", checkService},
	{"keyed_call_runs_once", checkKeyed},
	{"malformed_request", checkMalformed},
}

// checkTimeout bounds each check.
const checkTimeout = 60 * time.Second

// Check runs all checks and reports each.
func (c *Cluster) Check(ctx context.Context, report func(CheckResult)) bool {
	all := true
	for _, k := range checks {
		began := time.Now()
		checkCtx, cancel := context.WithTimeout(ctx, checkTimeout)
		err := k.run(checkCtx, c)
		cancel()
		r := CheckResult{Name: k.name, OK: err == nil, TookMs: time.Since(began).Milliseconds()}
		if err != nil {
			r.Detail = err.Error()
			all = false
		}
		report(r)
	}
	return all
}

// reply is an answer read whole.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// Post sends a body to a VM and reads the answer whole.
func Post(ctx context.Context, url string, body []byte, header http.Header) (reply, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return reply{}, errors.Wrap(err, "make request")
	}
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, errors.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}, errors.Wrap(err, "read answer")
	}
	return reply{status: resp.StatusCode, header: resp.Header, body: data}, nil
}

// Status returns the answer's HTTP status.
func (r reply) Status() int { return r.status }

// Header returns the answer's headers.
func (r reply) Header() http.Header { return r.header }

// Body returns the answer's body.
func (r reply) Body() []byte { return r.body }

// ChatBody returns the body of a chat completion request.
func ChatBody(model, text string, stream bool) []byte {
	data, err := json.Marshal(map[string]any{
		"model": model, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
	if err != nil {
		panic(err) // strings and a bool always encode
	}
	return data
}

const chatPath = "/v1/chat/completions"

// StreamText joins the text of a streamed chat answer. It fails on a stream
// without its end mark.
func StreamText(body []byte) (string, error) {
	var text strings.Builder
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if data == "[DONE]" {
			return text.String(), nil
		}
		if ok {
			text.WriteString(gjson.Get(data, "choices.0.delta.content").String())
		}
	}
	return "", errors.New("the stream has no end mark")
}

// expected is the stand-in's answer: the weights that ran, and the caller's own
// text.
func expected(model, text string) string { return model + " says " + text }

func (c *Cluster) chat(ctx context.Context, vm int, model, text string, stream bool) error {
	r, err := Post(ctx, c.VMs[vm%len(c.VMs)].FrontendURL()+chatPath, ChatBody(model, text, stream), nil)
	if err != nil {
		return err
	}
	if r.status != http.StatusOK {
		return errors.Newf("status %d: %s", r.status, r.body)
	}
	got := gjson.GetBytes(r.body, "choices.0.message.content").String()
	if stream {
		if got, err = StreamText(r.body); err != nil {
			return err
		}
	}
	if want := expected(model, text); got != want {
		return errors.Newf("got %q, want %q", got, want)
	}
	return nil
}

func checkStreamed(ctx context.Context, c *Cluster) error {
	for vm := range c.VMs {
		if err := c.chat(ctx, vm, "plough-notes@v2", fmt.Sprintf("hello from caller %d", vm), true); err != nil {
			return err
		}
	}
	return nil
}

func checkCold(ctx context.Context, c *Cluster) error {
	const model = "shift-report@v1"
	before := c.Weights.Loads()[model]
	if err := c.chat(ctx, 1, model, "a cold start", false); err != nil {
		return err
	}
	if after := c.Weights.Loads()[model]; before != 0 || after != 1 {
		return errors.Newf("%s was loaded %d times before and %d after", model, before, after)
	}
	return nil
}

const concurrentCallers = 200

func checkConcurrent(ctx context.Context, c *Cluster) error {
	models := c.models()
	errs := make(chan error, concurrentCallers)
	var wg sync.WaitGroup
	for i := range concurrentCallers {
		wg.Go(func() {
			errs <- c.chat(ctx, i, models[i%len(models)], fmt.Sprintf("caller %d asks", i), i%2 == 0)
		})
	}
	wg.Wait()
	close(errs)
	return firstError(errs)
}

// firstError returns the first error with the number of them.
func firstError(errs <-chan error) error {
	var first error
	n := 0
	for err := range errs {
		if err != nil {
			n++
			if first == nil {
				first = err
			}
		}
	}
	return errors.Wrapf(first, "%d failed, first", n)
}

func (c *Cluster) models() []string {
	var out []string
	for _, a := range c.bundle.Adapters {
		for _, v := range a.Versions {
			out = append(out, a.Name+"@"+v)
		}
	}
	return out
}

func (c *Cluster) expectError(ctx context.Context, path string, body []byte, status int, code string) error {
	r, err := Post(ctx, c.VMs[0].FrontendURL()+path, body, nil)
	if err != nil {
		return err
	}
	got := gjson.GetManyBytes(r.body, "error.code", "error.not_run")
	if r.status != status || got[0].String() != code || got[1].String() != "true" {
		return errors.Newf("status %d, body %s; want %d, %s, not_run true", r.status, r.body, status, code)
	}
	return nil
}

func checkUnknown(ctx context.Context, c *Cluster) error {
	for _, model := range []string{"nobody@v1", "plough-notes@v9"} {
		if err := c.expectError(ctx, chatPath, ChatBody(model, "x", false), http.StatusNotFound, "model_not_found"); err != nil {
			return err
		}
	}
	return nil
}

func checkMalformed(ctx context.Context, c *Cluster) error {
	for _, body := range []string{`{"model": `, `[]`, `{"model": 7}`} {
		if err := c.expectError(ctx, chatPath, []byte(body), http.StatusBadRequest, "bad_request"); err != nil {
			return err
		}
	}
	return nil
}

func checkService(ctx context.Context, c *Cluster) error {
	r, err := Post(ctx, c.VMs[2%len(c.VMs)].FrontendURL()+"/services/tickets/jobs?lane=3", []byte("salt the bridge"), nil)
	if err != nil {
		return err
	}
	if r.status != http.StatusOK || !strings.Contains(string(r.body), "POST /jobs?lane=3 ran as number 1: salt the bridge") {
		return errors.Newf("status %d, body %s", r.status, r.body)
	}
	return nil
}

func checkKeyed(ctx context.Context, c *Cluster) error {
	const ticket = "ticket for plough 7"
	header := http.Header{"Idempotency-Key": {"check-1"}}
	var bodies []string
	for _, vm := range c.VMs {
		r, err := Post(ctx, vm.FrontendURL()+"/services/tickets/jobs", []byte(ticket), header)
		if err != nil {
			return err
		}
		if r.status != http.StatusOK {
			return errors.Newf("status %d: %s", r.status, r.body)
		}
		bodies = append(bodies, string(r.body))
	}
	for _, b := range bodies {
		if b != bodies[0] {
			return errors.Newf("answers differ: %q and %q", bodies[0], b)
		}
	}
	for _, s := range c.Services {
		if n := s.Runs(ticket); n != 1 {
			return errors.Newf("the call ran %d times", n)
		}
	}
	return nil
}
