package answer

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// TestStatusThatIsNoneIsAccepted guards against responses whose status is none of an answer and that reach the caller, or
// are taken for one that precedes the answer.
func TestStatusThatIsNoneIsAccepted(t *testing.T) {
	for status, want := range map[int]struct{ accepted, informational bool }{
		-1: {}, 0: {}, 7: {}, 99: {}, 100: {informational: true}, 101: {}, 103: {informational: true}, 199: {informational: true},
		200: {accepted: true}, 304: {accepted: true}, 429: {accepted: true}, 500: {accepted: true}, 599: {accepted: true}, 600: {}, 999: {},
	} {
		h := Head{Status: status, RequestIDs: []string{"r"}, Signatures: []string{"s"}}
		assert.Equal(t, h.Accept("r") == nil, want.accepted, "%d", status)
		assert.Equal(t, IsInformational(status), want.informational, "%d", status)
		assert.Equal(t, CheckStatus(status) == nil, want.accepted, "%d", status)
		if !want.accepted {
			assert.Assert(t, errors.Is(h.Accept("r"), ErrInvalid))
			assert.Assert(t, errors.Is(Head{Status: status, NotRun: true}.Accept("r"), ErrInvalid), "no promise")
		}
	}
}
