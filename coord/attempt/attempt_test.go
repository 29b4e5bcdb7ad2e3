package attempt_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/attempt"
)

type step = func(*attempt.Attempt)

var (
	maybeSent      step = (*attempt.Attempt).MaybeSent
	refused        step = (*attempt.Attempt).Refused
	started        step = (*attempt.Attempt).Started
	finished       step = (*attempt.Attempt).Finished
	connectionLost step = (*attempt.Attempt).ConnectionLost
)

// TestOutcomeAndRetryByState checks, for each sequence of events of an attempt, the outcome that
// may be reported and whether a retry is allowed.
func TestOutcomeAndRetryByState(t *testing.T) {
	for _, row := range []struct {
		name        string
		steps       []step
		wantOutcome attempt.Outcome
		// wantRetry and wantRetryIdempotent tell whether another attempt is allowed.
		wantRetry, wantRetryIdempotent bool
	}{
		{"no event", nil, attempt.NotRun, true, true},
		{"connection lost before sending", []step{connectionLost}, attempt.NotRun, true, true},
		{"maybe sent", []step{maybeSent}, attempt.Unknown, false, true},
		{"connection lost after sending", []step{maybeSent, connectionLost}, attempt.Unknown, false, true},
		{"refused", []step{maybeSent, refused}, attempt.NotRun, true, true},
		{"refused, then the connection is lost", []step{maybeSent, refused, connectionLost}, attempt.NotRun, true, true},
		{"refusal without a request", []step{refused}, attempt.NotRun, true, true},
		{"response has begun", []step{maybeSent, started}, attempt.Unknown, false, false},
		{"connection lost during the response", []step{maybeSent, started, connectionLost}, attempt.Unknown, false, true},
		{"refusal after the response has begun is ignored", []step{maybeSent, started, refused}, attempt.Unknown, false, false},
		{"refusal after the connection was lost is ignored", []step{maybeSent, connectionLost, refused}, attempt.Unknown, false, true},
		{"complete response", []step{maybeSent, started, finished}, attempt.Ran, false, false},
		{"end of the response without a start", []step{maybeSent, finished}, attempt.Unknown, false, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			var a attempt.Attempt
			for _, s := range row.steps {
				s(&a)
			}
			assert.Equal(t, a.Outcome(), row.wantOutcome)
			assert.Equal(t, a.MayRetry(false), row.wantRetry)
			assert.Equal(t, a.MayRetry(true), row.wantRetryIdempotent)
		})
	}
}
