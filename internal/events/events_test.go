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

func TestEventIsWrittenAsOneLine(t *testing.T) {
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
		assert.Assert(t, strings.Contains(lines[0], want), "%s does not contain %s", lines[0], want)
	}
}

func TestSuccessBudgetDoesNotOmitFailuresAndOrders(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "info", "vm")
	for range 10 * successLinesBurst {
		l.RequestEnded(start, Request{Outcome: "ok"})
	}
	l.RequestEnded(start, Request{Outcome: "refused"})
	l.OrderAnswered(Order{Result: "begun", ExpectedOrders: -1, Basis: scheduler.Basis{Occupied: 4, Slots: 5, Unconfirmed: 2, ReportAge: 1500 * time.Millisecond}})
	l.OrderAnswered(Order{Result: "fenced"})
	l.RequestEnded(start.Add(omittedReportInterval), Request{Outcome: "ok"})
	l.Close()
	output := out.String()
	assert.Equal(t, strings.Count(output, "outcome=refused"), 1)
	assert.Equal(t, strings.Count(output, "result=fenced"), 1)
	assert.Equal(t, strings.Count(output, "result=begun"), 1, "successful orders are always written")
	for _, want := range []string{"expect=-1", "taken=4", "slots=5", "unproven=2", "report_age_ms=1500", "proven=false"} {
		assert.Assert(t, strings.Contains(output, want), "order event does not contain %s", want)
	}
	assert.Assert(t, strings.Count(output, "outcome=ok") <= successLinesBurst+1)
	assert.Assert(t, strings.Contains(output, "message=log_lines_omitted"), "the number of omitted lines is written")
}

// stalledWriter is an io.Writer that blocks until release is closed.
type stalledWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

func TestStalledLogReaderDoesNotBlockLogging(t *testing.T) {
	out := &stalledWriter{release: make(chan struct{})}
	l := New(out, "info", "vm")
	for i := range 2 * maxQueuedLines {
		l.PeerChanged(fmt.Sprint(i), "live", "suspect", 0)
	}
	close(out.release)
	l.Close()
	assert.Assert(t, strings.Contains(out.String(), "message=log_lines_dropped"))
	assert.Assert(t, strings.Count(out.String(), "message=peer_changed") <= maxQueuedLines+1)
}

// loggedEvents returns the sorted names of the events that the source of this package logs.
func loggedEvents(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("*.go")
	assert.NilError(t, err)
	names := []string{"log_lines_dropped"} // written by the queue
	for _, fileName := range files {
		if !strings.HasSuffix(fileName, "_test.go") {
			names = append(names, loggedEventsIn(t, fileName)...)
		}
	}
	slices.Sort(names)
	return names
}

// loggedEventsIn returns the names of the events that a source file logs, in the order of its
// calls of info, warn and debug.
func loggedEventsIn(t *testing.T, fileName string) (names []string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), fileName, nil, 0)
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
	assert.DeepEqual(t, listed, loggedEvents(t))
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
