package events

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/scheduler"
)

var start = time.Unix(1_000_000, 0)

func TestOneLineAnEvent(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "info", "edge-1")
	l.RequestEnded(start, Request{
		ID: "r1", Route: "r", Outcome: "failed", Reason: "target_failed", Status: 502, Target: "i-1", DecidedBy: "edge-2",
		Took: 1500 * time.Millisecond, Err: errors.New("two\nlines"),
	})
	l.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 1, out.String())
	for _, want := range []string{"message=request_ended", "vm=edge-1", "id=r1", "outcome=failed", "reason=target_failed", "took_ms=1500", "decided_by=edge-2"} {
		assert.Assert(t, strings.Contains(lines[0], want), "%s lacks %s", lines[0], want)
	}
}

func TestFailuresAreAlwaysWritten(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "info", "vm")
	for range 10 * ordinaryBurst {
		l.RequestEnded(start, Request{Outcome: "ok"})
	}
	l.RequestEnded(start, Request{Outcome: "refused"})
	l.OrderAnswered(Order{Result: "begun", ExpectedOrders: -1, Basis: scheduler.Basis{Occupied: 4, Slots: 5, Unconfirmed: 2, ReportAge: 1500 * time.Millisecond}})
	l.OrderAnswered(Order{Result: "fenced"})
	l.RequestEnded(start.Add(omittedEvery), Request{Outcome: "ok"})
	l.Close()
	text := out.String()
	assert.Equal(t, strings.Count(text, "outcome=refused"), 1)
	assert.Equal(t, strings.Count(text, "result=fenced"), 1)
	assert.Equal(t, strings.Count(text, "result=begun"), 1, "orders count also when they went well")
	for _, want := range []string{"expect=-1", "taken=4", "slots=5", "unproven=2", "report_age_ms=1500", "proven=false"} {
		assert.Assert(t, strings.Contains(text, want), "an order lacks %s", want)
	}
	assert.Assert(t, strings.Count(text, "outcome=ok") <= ordinaryBurst+1)
	assert.Assert(t, strings.Contains(text, "message=log_lines_omitted"), "what was left out is said")
}

// stalled is a reader that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

func TestStalledReaderBlocksNobody(t *testing.T) {
	w := &stalled{release: make(chan struct{})}
	l := New(w, "info", "vm")
	for i := range 2 * queueLines {
		l.PeerChanged(fmt.Sprint(i), "live", "suspect", 0)
	}
	close(w.release)
	l.Close()
	assert.Assert(t, strings.Contains(w.String(), "message=log_lines_dropped"))
	assert.Assert(t, strings.Count(w.String(), "message=peer_changed") <= queueLines+1)
}

// written returns the names that the functions of this package write.
func written(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("*.go")
	assert.NilError(t, err)
	names := []string{"log_lines_dropped"} // written by the queue
	for _, name := range files {
		if !strings.HasSuffix(name, "_test.go") {
			names = append(names, writtenIn(t, name)...)
		}
	}
	slices.Sort(names)
	return names
}

func writtenIn(t *testing.T, name string) (names []string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
	assert.NilError(t, err)
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) != 2 {
			return true
		}
		f, ok := call.Fun.(*ast.SelectorExpr)
		if name, lit := call.Args[0].(*ast.BasicLit); ok && lit && slices.Contains([]string{"info", "warn", "debug"}, f.Sel.Name) {
			names = append(names, strings.Trim(name.Value, `"`))
		}
		return true
	})
	return names
}

func TestNamesAreCompleteAndExplained(t *testing.T) {
	listed := slices.Sorted(slices.Values(Names()))
	assert.DeepEqual(t, listed, written(t))
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	for _, name := range listed {
		assert.Check(t, strings.Contains(string(page), "`"+name+"`"), "docs/OPERATIONS.md does not explain %s", name)
	}
}

func BenchmarkRequestEnded(b *testing.B) {
	l := New(io.Discard, "info", "vm")
	defer l.Close()
	for b.Loop() {
		l.RequestEnded(start, Request{ID: "9c41d07be2a35f68", Outcome: "failed", Reason: "target_failed", Target: "i-7f3a91c2"})
	}
}
