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

// errorBody is the body of all error responses. It has the fields that OpenAI clients
// read, and a field for whether the request ran.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Type    string `json:"type"`
	Message string `json:"message"`
	Param   string `json:"param,omitempty"`
	// NotRun is "true" if the request did not run, "false" if it ran, else "unknown".
	NotRun    string `json:"not_run"`
	RequestID string `json:"request_id"`
}

// Error types of the OpenAI API.
const (
	typeInvalidRequest = "invalid_request_error"
	typeServer         = "server_error"
	typeRateLimit      = "rate_limit_error"
)

func errorType(status int) string {
	switch {
	case status == http.StatusTooManyRequests:
		return typeRateLimit
	case status < http.StatusInternalServerError:
		return typeInvalidRequest
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

// notRunFailure returns the failure of a request that did not run.
func notRunFailure(code string, status int, retryDelay time.Duration, message string) *schema.Failure {
	return forward.FailedResult(code, status, schema.Outcome_OUTCOME_NOT_RUN, retryDelay, message).Failure
}

// fail writes an error response.
func (c *call) fail(failure *schema.Failure) { c.failParam(failure, "") }

// failParam writes an error response that names the invalid parameter.
func (c *call) failParam(failure *schema.Failure, param string) {
	c.server.cfg.Metrics.Refusals.Add(failure.Code, 1)
	c.log.WithField("code", failure.Code).WithField("not_run", notRunText(failure.Outcome)).
		WithField("detail", failure.Message).Info("request_failed")
	body, err := json.Marshal(errorBody{Error: errorDetail{
		Code: failure.Code, Type: errorType(int(failure.Status)), Message: failure.Message, Param: param,
		NotRun: notRunText(failure.Outcome), RequestID: c.id,
	}})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	header := c.w.Header()
	header.Set("Content-Type", "application/json")
	if failure.RetryAfterMs > 0 {
		header.Set("Retry-After", strconv.FormatInt(retryAfterSeconds(failure.RetryAfterMs), 10))
	}
	c.w.WriteHeader(int(failure.Status))
	_, _ = c.w.Write(body)
}

// retryAfterSeconds converts milliseconds to the whole seconds of a Retry-After header,
// rounded up.
func retryAfterSeconds(ms int64) int64 { return (ms + 999) / 1000 }

func hashText(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:8])
}
