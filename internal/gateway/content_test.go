package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/balance"
	"github.com/junctionfold/junctionfold/coord/quarantine"
	"github.com/junctionfold/junctionfold/coord/scheduler"
)

// TestContentOfARequest: the same for each attempt of the same, another for anything else.
func TestContentOfARequest(t *testing.T) {
	x := newFixture(t, newBackend(t, "a"))
	seen := map[quarantine.Digest]string{}
	ask := func(method, path, body string, header ...string) quarantine.Digest {
		_, _ = x.send(t, method, path, body, header...)
		return x.admission.asked[len(x.admission.asked)-1].Content
	}
	first := ask("POST", "/once/x", "abc", "Id", "r1")
	assert.Assert(t, first != quarantine.Digest{})
	assert.Equal(t, ask("POST", "/once/x", "abc", "Id", "r2", "Wait", "1s", "After", "7"), first)
	seen[first] = "the first"
	for name, d := range map[string]quarantine.Digest{
		"another body":    ask("POST", "/once/x", "abd"),
		"another path":    ask("POST", "/once/xa", "bc"),
		"another query":   ask("POST", "/once/x?q", "abc"),
		"another method":  ask("PUT", "/once/x", "abc"),
		"another adapter": ask("POST", "/once/x", "abc", "Adapter", "b"),
	} {
		assert.Equal(t, seen[d], "", name)
		seen[d] = name
	}
}

// TestLongBodiesThatDifferInOneByte: one that runs well must not clear one that crashes targets.
func TestLongBodiesThatDifferInOneByte(t *testing.T) {
	content := func(middle byte) quarantine.Digest {
		x := &exchange{r: &http.Request{Method: "POST", Host: "h.example"}, target: "/a/b", body: make([]byte, 10<<10)}
		x.body[len(x.body)/2] = middle
		return x.content()
	}
	assert.Assert(t, content(0) != content(1))
	assert.Equal(t, content(1), content(1))
}

// TestBrokenConnectionsAreTold: they may be the end of a target; answers that are late, odd or
// foreign are not.
func TestBrokenConnectionsAreTold(t *testing.T) {
	reset := func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }
	half := func(w http.ResponseWriter, _ *http.Request) {
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
		{"a stream", "/stream/x", half, []scheduler.Ending{scheduler.EndedDisconnected}, nil},
		{"a stream that fails", "/stream/x", failure, []scheduler.Ending{scheduler.EndedFailed}, nil},
		{"a plain call", "/once/x", reset, nil, []balance.Ending{balance.Disconnected}},
		{"a plain call that fails", "/once/x", failure, nil, []balance.Ending{balance.Failed}},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := newBackend(t, "a")
			b.handler = row.handler
			x := newFixture(t, b)
			x.admission.targets = append(x.admission.targets, b.target())
			x.admission.plain = plainVerdicts(b)
			_, _ = x.send(t, "POST", row.path, "")
			assert.DeepEqual(t, x.admission.ended(), row.model)
			assert.DeepEqual(t, x.admission.plainEndings, row.plain)
		})
	}
}

// BenchmarkContent is the digest of a request with a body of 10 KB.
func BenchmarkContent(b *testing.B) {
	x := &exchange{r: &http.Request{Method: "POST", Host: "h.example"}, target: "/a/b", body: make([]byte, 10<<10)}
	b.ReportAllocs()
	for b.Loop() {
		_ = x.content()
	}
}
