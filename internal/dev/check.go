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

// check is a named check of a running cluster. run returns an error if it fails.
type check struct {
	name string
	run  func(context.Context, *Cluster) error
}

// checks are the checks that the command dev --check runs, in this order.
var checks = []check{
	{"streamed_chat_on_named_version", checkStreamedChat},
	{"adapter_not_loaded_yet", checkColdAdapter},
	{"concurrent_callers_get_own_answers", checkConcurrentCallers},
	{"unknown_adapter_or_version", checkUnknownModel},
	{"plain_service", checkPlainService},
	{"keyed_call_runs_once", checkKeyedCall},
	{"malformed_request", checkMalformedRequest},
}

// checkTimeout bounds the duration of each check.
const checkTimeout = 60 * time.Second

// Check runs all checks, passes each result to report and returns whether all
// passed.
func (c *Cluster) Check(ctx context.Context, report func(CheckResult)) bool {
	allOK := true
	for _, chk := range checks {
		start := time.Now()
		checkCtx, cancel := context.WithTimeout(ctx, checkTimeout)
		err := chk.run(checkCtx, c)
		cancel()
		r := CheckResult{Name: chk.name, OK: err == nil, TookMs: time.Since(start).Milliseconds()}
		if err != nil {
			r.Detail = err.Error()
			allOK = false
		}
		report(r)
	}
	return allOK
}

// response is an HTTP response whose body has been read completely.
type response struct {
	status int
	header http.Header
	body   []byte
}

// Post sends body to url in a POST request and reads the complete response. It
// returns an error if no complete response arrives, not for an error status.
func Post(ctx context.Context, url string, body []byte, header http.Header) (response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return response{}, errors.Wrap(err, "make request")
	}
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, errors.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}, errors.Wrap(err, "read response")
	}
	return response{status: resp.StatusCode, header: resp.Header, body: data}, nil
}

// Status returns the HTTP status code.
func (r response) Status() int { return r.status }

// Header returns the response headers.
func (r response) Header() http.Header { return r.header }

// Body returns the response body.
func (r response) Body() []byte { return r.body }

// ChatBody returns the JSON body of a chat completion request with a single user
// message.
func ChatBody(model, text string, stream bool) []byte {
	data, err := json.Marshal(map[string]any{
		"model": model, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
	if err != nil {
		panic(err) // cannot fail for strings and a bool
	}
	return data
}

const chatPath = "/v1/chat/completions"

// StreamText returns the text of a streamed chat response. It returns an error if the
// stream lacks its end marker, [DONE].
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
	return "", errors.New("stream has no end marker")
}

// expectedText returns the text with which a stand-in responds: the name of the weights
// that ran, and the text of the request.
func expectedText(model, text string) string { return model + " says " + text }

// chat sends a chat request to the VM with index vm modulo the number of VMs and
// checks that the response is for this model and text.
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
	if want := expectedText(model, text); got != want {
		return errors.Newf("got %q, want %q", got, want)
	}
	return nil
}

func checkStreamedChat(ctx context.Context, c *Cluster) error {
	for vm := range c.VMs {
		if err := c.chat(ctx, vm, "plough-notes@v2", fmt.Sprintf("hello from caller %d", vm), true); err != nil {
			return err
		}
	}
	return nil
}

// checkColdAdapter checks that the first request for an adapter loads it exactly once.
func checkColdAdapter(ctx context.Context, c *Cluster) error {
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

// concurrentCallers is the number of callers of checkConcurrentCallers.
const concurrentCallers = 200

func checkConcurrentCallers(ctx context.Context, c *Cluster) error {
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

// firstError returns the first error, annotated with the number of errors, or nil if
// there are none.
func firstError(errs <-chan error) error {
	var first error
	failed := 0
	for err := range errs {
		if err != nil {
			failed++
			if first == nil {
				first = err
			}
		}
	}
	return errors.Wrapf(first, "%d failed, first", failed)
}

// models returns the names of all adapter versions in the bundle, as NAME@VERSION.
func (c *Cluster) models() []string {
	var out []string
	for _, a := range c.bundle.Adapters {
		for _, v := range a.Versions {
			out = append(out, a.Name+"@"+v)
		}
	}
	return out
}

// expectError sends a request to the first VM and checks that it is refused with the
// given status and code, and reported as not run.
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

func checkUnknownModel(ctx context.Context, c *Cluster) error {
	for _, model := range []string{"nobody@v1", "plough-notes@v9"} {
		if err := c.expectError(ctx, chatPath, ChatBody(model, "x", false), http.StatusNotFound, "model_not_found"); err != nil {
			return err
		}
	}
	return nil
}

func checkMalformedRequest(ctx context.Context, c *Cluster) error {
	for _, body := range []string{`{"model": `, `[]`, `{"model": 7}`} {
		if err := c.expectError(ctx, chatPath, []byte(body), http.StatusBadRequest, "bad_request"); err != nil {
			return err
		}
	}
	return nil
}

func checkPlainService(ctx context.Context, c *Cluster) error {
	r, err := Post(ctx, c.VMs[2%len(c.VMs)].FrontendURL()+"/services/tickets/jobs?lane=3", []byte("salt the bridge"), nil)
	if err != nil {
		return err
	}
	if r.status != http.StatusOK || !strings.Contains(string(r.body), "POST /jobs?lane=3 ran as number 1: salt the bridge") {
		return errors.Newf("status %d, body %s", r.status, r.body)
	}
	return nil
}

// checkKeyedCall sends a call with the same idempotency key to every VM, and checks
// that the call runs once and that all responses are equal.
func checkKeyedCall(ctx context.Context, c *Cluster) error {
	const call = "ticket for plough 7"
	header := http.Header{"Idempotency-Key": {"check-1"}}
	var bodies []string
	for _, vm := range c.VMs {
		r, err := Post(ctx, vm.FrontendURL()+"/services/tickets/jobs", []byte(call), header)
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
			return errors.Newf("responses differ: %q and %q", bodies[0], b)
		}
	}
	for _, s := range c.Services {
		if n := s.Runs(call); n != 1 {
			return errors.Newf("the call ran %d times", n)
		}
	}
	return nil
}
