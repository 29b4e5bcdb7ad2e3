package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/junctionfold/junctionfold/internal/forward"
	"github.com/junctionfold/junctionfold/schema"
)

// errorBody is the one form of all errors at the door. It has the fields that
// OpenAI clients read, and what is known of the run.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Type    string `json:"type"`
	Message string `json:"message"`
	Param   string `json:"param,omitempty"`
	// NotRun is "true", "false" or "unknown".
	NotRun    string `json:"not_run"`
	RequestID string `json:"request_id"`
}

// Types of errors, as OpenAI clients know them.
const (
	typeInvalid = "invalid_request_error"
	typeServer  = "server_error"
	typeLimit   = "rate_limit_error"
)

func errorType(status int) string {
	switch {
	case status == http.StatusTooManyRequests:
		return typeLimit
	case status < http.StatusInternalServerError:
		return typeInvalid
	}
	return typeServer
}

func notRunText(o schema.Outcome) string {
	switch o {
	case schema.Outcome_OUTCOME_NOT_RUN:
		return "true"
	case schema.Outcome_OUTCOME_RAN:
		return "false"
	}
	return "unknown"
}

// refusal makes the failure of a request that was not run.
func refusal(code string, status int, retry time.Duration, message string) *schema.Failure {
	return forward.Fail(code, status, schema.Outcome_OUTCOME_NOT_RUN, retry, message).Failure
}

// fail answers a call with an error.
func (c *call) fail(f *schema.Failure) { c.failParam(f, "") }

// failParam answers with an error about one parameter.
func (c *call) failParam(f *schema.Failure, param string) {
	c.door.cfg.Metrics.Refusals.Add(f.Code, 1)
	c.log.WithField("code", f.Code).WithField("not_run", notRunText(f.Outcome)).
		WithField("detail", f.Message).Info("request_failed")
	body, err := json.Marshal(errorBody{Error: errorDetail{
		Code: f.Code, Type: errorType(int(f.Status)), Message: f.Message, Param: param,
		NotRun: notRunText(f.Outcome), RequestID: c.id,
	}})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	if f.RetryAfterMs > 0 {
		h.Set("Retry-After", strconv.FormatInt(retrySeconds(f.RetryAfterMs), 10))
	}
	c.w.WriteHeader(int(f.Status))
	_, _ = c.w.Write(body)
}

// retrySeconds rounds up to the whole seconds that Retry-After takes.
func retrySeconds(ms int64) int64 { return (ms + 999) / 1000 }

func hashText(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:8])
}
