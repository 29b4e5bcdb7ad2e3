package attempt_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/attempt"
)

type step = func(*attempt.Attempt)

var (
	maybeSent step = (*attempt.Attempt).MaybeSent
	refused   step = (*attempt.Attempt).Refused
	started   step = (*attempt.Attempt).Started
	finished  step = (*attempt.Attempt).Finished
	broken    step = (*attempt.Attempt).ConnectionLost
)

// TestLife gives each life of an attempt and what may be said and done after it.
func TestLife(t *testing.T) {
	for _, row := range []struct {
		name  string
		steps []step
		want  attempt.Outcome
		// retry and retryIdempotent say whether another attempt is allowed.
		retry, retryIdempotent bool
	}{
		{"fresh", nil, attempt.NotRun, true, true},
		{"broken before sending", []step{broken}, attempt.NotRun, true, true},
		{"maybe sent", []step{maybeSent}, attempt.Unknown, false, true},
		{"broken after sending", []step{maybeSent, broken}, attempt.Unknown, false, true},
		{"refused", []step{maybeSent, refused}, attempt.NotRun, true, true},
		{"refused, then the connection breaks", []step{maybeSent, refused, broken}, attempt.NotRun, true, true},
		{"a refusal without a request", []step{refused}, attempt.NotRun, true, true},
		{"answering", []step{maybeSent, started}, attempt.Unknown, false, false},
		{"broken while answering", []step{maybeSent, started, broken}, attempt.Unknown, false, true},
		{"a refusal after the answer began is not believed", []step{maybeSent, started, refused}, attempt.Unknown, false, false},
		{"a refusal after it broke is not believed", []step{maybeSent, broken, refused}, attempt.Unknown, false, true},
		{"whole", []step{maybeSent, started, finished}, attempt.Ran, false, false},
		{"an end without a start", []step{maybeSent, finished}, attempt.Unknown, false, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			var a attempt.Attempt
			for _, s := range row.steps {
				s(&a)
			}
			assert.Equal(t, a.Outcome(), row.want)
			assert.Equal(t, a.MayRetry(false), row.retry)
			assert.Equal(t, a.MayRetry(true), row.retryIdempotent)
		})
	}
}
