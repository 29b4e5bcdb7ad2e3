package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/balance"
	"github.com/junctionfold/junctionfold/coord/quarantine"
	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// TestContentDigest checks that all attempts of one request have the same digest and that other
// requests have different ones.
func TestContentDigest(t *testing.T) {
	x := newFixture(t, newBackend(t, "a"))
	seen := map[quarantine.Digest]string{}
	digestOfRequest := func(method, path, body string, header ...string) quarantine.Digest {
		_, _ = x.send(t, method, path, body, header...)
		return x.admission.requests[len(x.admission.requests)-1].Content
	}
	first := digestOfRequest("POST", "/once/x", "abc", "Id", "r1")
	assert.Assert(t, first != quarantine.Digest{})
	assert.Equal(t, digestOfRequest("POST", "/once/x", "abc", "Id", "r2", "Wait", "1s", "After", "7"), first)
	seen[first] = "the first"
	for name, d := range map[string]quarantine.Digest{
		"another body":    digestOfRequest("POST", "/once/x", "abd"),
		"another path":    digestOfRequest("POST", "/once/xa", "bc"),
		"another query":   digestOfRequest("POST", "/once/x?q", "abc"),
		"another method":  digestOfRequest("PUT", "/once/x", "abc"),
		"another adapter": digestOfRequest("POST", "/once/x", "abc", "Adapter", "b"),
	} {
		assert.Equal(t, seen[d], "", name)
		seen[d] = name
	}
}

// TestContentDigestCoversWholeBody guards against a request that runs well and clears one that
// crashes targets, because the digest left out the middle of long bodies.
func TestContentDigestCoversWholeBody(t *testing.T) {
	content := func(middle byte) quarantine.Digest {
		x := &exchange{r: &http.Request{Method: "POST", Host: "h.example"}, requestTarget: "/a/b", body: make([]byte, 10<<10)}
		x.body[len(x.body)/2] = middle
		return x.contentDigest()
	}
	assert.Assert(t, content(0) != content(1))
	assert.Equal(t, content(1), content(1))
}

// TestDisconnectsAreReported checks that disconnects, which may mean that a target crashed, are
// distinguished from other failures.
func TestDisconnectsAreReported(t *testing.T) {
	reset := func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }
	cut := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte("id: 1\ndata: x\n\n"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	failure := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	for _, row := range []struct {
		name, path string
		handler    http.HandlerFunc
		model      []scheduler.Ending
		plain      []balance.Ending
	}{
		{"a stream before its first event", "/stream/x", reset, []scheduler.Ending{scheduler.EndedDisconnected}, nil},
		{"a stream after its first event", "/stream/x", cut, []scheduler.Ending{scheduler.EndedDisconnected}, nil},
		{"a stream that fails", "/stream/x", failure, []scheduler.Ending{scheduler.EndedErrorResponse}, nil},
		{"a plain request", "/once/x", reset, nil, []balance.Ending{balance.Disconnected}},
		{"a plain request that fails", "/once/x", failure, nil, []balance.Ending{balance.ErrorResponse}},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := newBackend(t, "a")
			b.handler = row.handler
			x := newFixture(t, b)
			x.admission.targets = append(x.admission.targets, b.target())
			x.admission.decidePlain = plainDecisions(b)
			_, _ = x.send(t, "POST", row.path, "")
			assert.DeepEqual(t, x.admission.ended(), row.model)
			assert.DeepEqual(t, x.admission.plainEndings, row.plain)
		})
	}
}

// TestOwnPart checks that requests of several kinds with the same own prompt part are recognized, and
// that shared parts, which come before it, do not count.
func TestOwnPart(t *testing.T) {
	content := func(path, model string, parts ...string) (d quarantine.Digest, p quarantine.Part) {
		x := &exchange{r: &http.Request{Method: "POST", Host: "h.example"}, requestTarget: path}
		x.req.Adapter.Model = model
		for i, id := range parts {
			x.req.Parts = append(x.req.Parts, fleet.PromptPart{ID: id, Tokens: 10 * (i + 1)})
		}
		return x.contentDigest(), x.ownPart()
	}
	first, p := content("/a", "m", "5c", "91")
	second, same := content("/b", "m", "91")
	assert.Equal(t, p, same)
	assert.Assert(t, p != quarantine.Part{})
	assert.Assert(t, first != second)
	assert.Equal(t, first.WithPart(p), first)
	for name, other := range map[string][]string{"another part": {"m", "5c", "92"}, "another model": {"n", "5c", "91"}} {
		_, differs := content("/a", other[0], other[1:]...)
		assert.Assert(t, differs != p, name)
	}
	_, none := content("/a", "m")
	assert.Equal(t, none, quarantine.Part{})
}

// BenchmarkContent computes the digest of a request with a body of 10 KB.
func BenchmarkContent(b *testing.B) {
	x := &exchange{r: &http.Request{Method: "POST", Host: "h.example"}, requestTarget: "/a/b", body: make([]byte, 10<<10)}
	b.ReportAllocs()
	for b.Loop() {
		_ = x.contentDigest()
	}
}
