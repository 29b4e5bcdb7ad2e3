package target_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/attempt"
	"github.com/junctionfold/junctionfold/internal/forward"
	"github.com/junctionfold/junctionfold/internal/standin"
	"github.com/junctionfold/junctionfold/internal/target"
	"github.com/junctionfold/junctionfold/schema"
)

// engineAddressVariable names the environment variable with the address of a real engine to test;
// without it, the tests run against the stand-in. The engine must have the base model base-8b, two
// slots, and weights for a@1, b@1 and c@1.
const engineAddressVariable = "JUNCTIONFOLD_ENGINE"

// engineAddress returns the address of the engine under test.
func engineAddress(t *testing.T, refuses bool) string {
	t.Helper()
	if address := os.Getenv(engineAddressVariable); address != "" {
		return address
	}
	s := httptest.NewServer(standin.NewEngine(standin.EngineConfig{
		Base: "base-8b", Slots: 2, RejectsStaleTokens: refuses, Weights: standin.NewWeightStore(time.Millisecond),
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func newEngine(t *testing.T, refuses bool) *target.Engine {
	t.Helper()
	return target.NewEngine(&schema.Target{Address: engineAddress(t, refuses)}, http.DefaultTransport, "")
}

// recordingSink records an answer.
type recordingSink struct {
	head forward.Head
	body strings.Builder
}

func (s *recordingSink) Head(h forward.Head) error { s.head = h; return nil }
func (s *recordingSink) Data(part []byte) error    { s.body.Write(part); return nil }

func run(t *testing.T, e *target.Engine, name, model string, stream bool) (*recordingSink, forward.Result, *attempt.Attempt) {
	t.Helper()
	out, a := &recordingSink{}, &attempt.Attempt{}
	body := `{"model":"x","stream":false,"messages":[{"role":"user","content":"hello there"}]}`
	if stream {
		body = strings.Replace(body, "false", "true", 1)
	}
	r := e.Run(t.Context(), target.Run{
		Forward: &schema.Forward{RequestId: t.Name(), Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte(body), Stream: stream},
		Name:    name, Model: model, FencingToken: 10, Attempt: a,
	}, out)
	return out, r, a
}

// TestEngineContract checks the behaviour of an engine that the owner relies on.
func TestEngineContract(t *testing.T) {
	e := newEngine(t, true)
	ctx := t.Context()
	t.Run("a claim is shown in the report", func(t *testing.T) {
		assert.NilError(t, e.Claim(ctx, 10))
		s, err := e.State(ctx)
		assert.NilError(t, err)
		assert.Equal(t, s.FencingToken, uint64(10))
		assert.Assert(t, s.BootID != "")
	})
	t.Run("an adapter is resident when its load returns", func(t *testing.T) {
		assert.NilError(t, e.Load(ctx, 10, "a@1", "a@1"))
		s, err := e.State(ctx)
		assert.NilError(t, err)
		assert.Assert(t, slices.Contains(s.Resident, "a@1"))
	})
	t.Run("loading a resident adapter again is no error", func(t *testing.T) {
		assert.NilError(t, e.Load(ctx, 10, "a@1", "a@1"))
	})
	t.Run("a load without a free slot fails and evicts nothing", func(t *testing.T) {
		assert.NilError(t, e.Load(ctx, 10, "b@1", "b@1"))
		assert.ErrorContains(t, e.Load(ctx, 10, "c@1", "c@1"), "no_free_slot")
		s, err := e.State(ctx)
		assert.NilError(t, err)
		assert.Equal(t, len(s.Resident), 2)
	})
	for _, stream := range []bool{false, true} {
		t.Run("an answer names the adapter", func(t *testing.T) {
			out, r, a := run(t, e, "a@1", "a@1", stream)
			assert.Assert(t, r.Failure == nil, "%v", r.Failure)
			assert.Equal(t, out.head.Status, http.StatusOK)
			assert.Assert(t, strings.Contains(out.body.String(), `"model":"a@1"`))
			assert.Equal(t, a.Outcome(), attempt.Ran)
		})
	}
	t.Run("a request for an adapter that is not loaded is refused and not run", func(t *testing.T) {
		_, r, a := run(t, e, "c@1", "c@1", false)
		assert.Equal(t, r.Failure.GetCode(), target.EngineNotLoaded)
		assert.Equal(t, a.Outcome(), attempt.NotRun)
	})
	t.Run("an unload empties the slot", func(t *testing.T) {
		assert.NilError(t, e.Unload(ctx, 10, "b@1"))
		assert.NilError(t, e.Load(ctx, 10, "c@1", "c@1"))
	})
}

// TestFencingContract checks how engines treat orders with stale fencing tokens: those that refuse
// them report the highest token seen, the others ignore the token.
func TestFencingContract(t *testing.T) {
	for _, row := range []struct {
		name    string
		refuses bool
	}{{"an engine that refuses stale tokens", true}, {"an engine that ignores tokens", false}} {
		t.Run(row.name, func(t *testing.T) {
			if os.Getenv(engineAddressVariable) != "" && !row.refuses {
				t.Skip("a real engine is expected to refuse stale tokens")
			}
			e := newEngine(t, row.refuses)
			assert.NilError(t, e.Claim(t.Context(), 20))
			for _, order := range []func(context.Context, uint64) error{
				e.Claim,
				func(ctx context.Context, token uint64) error { return e.Load(ctx, token, "a@1", "a@1") },
				func(ctx context.Context, token uint64) error { return e.Unload(ctx, token, "a@1") },
			} {
				err := order(t.Context(), 19)
				var stale *target.StaleTokenError
				assert.Equal(t, errors.As(err, &stale), row.refuses, "%v", err)
				if stale != nil {
					assert.Equal(t, stale.Seen, uint64(20))
				}
			}
		})
	}
}

// TestAnswerNamesCallersModel checks that the name under which the engine loaded an adapter does
// not reach the caller.
func TestAnswerNamesCallersModel(t *testing.T) {
	e := newEngine(t, false)
	assert.NilError(t, e.Load(t.Context(), 1, "a@1~xyz", "a@1"))
	for _, stream := range []bool{false, true} {
		out, r, _ := run(t, e, "a@1~xyz", "a@1", stream)
		assert.Assert(t, r.Failure == nil, "%v", r.Failure)
		assert.Assert(t, !strings.Contains(out.body.String(), "~xyz"), "%s", out.body.String())
		assert.Assert(t, strings.Contains(out.body.String(), `"model":"a@1"`))
	}
}

// TestUnreachableEngineReportsNotRun checks that an attempt without a connection to the engine is
// reported as not run.
func TestUnreachableEngineReportsNotRun(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(s.URL, "http://")
	s.Close()
	e := target.NewEngine(&schema.Target{Address: address}, &http.Transport{}, "")
	_, r, a := run(t, e, "a@1", "a@1", false)
	assert.Equal(t, r.Failure.GetCode(), forward.CodeTargetUnreachable)
	assert.Equal(t, a.Outcome(), attempt.NotRun)
}
