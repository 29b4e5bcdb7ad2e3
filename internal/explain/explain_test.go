package explain

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/events"
)

// sampleLines logs events of two VMs with package events and returns the parsed lines.
func sampleLines(t *testing.T) []Line {
	t.Helper()
	var first, second bytes.Buffer
	a, b := events.New(&first, "info", "edge-1"), events.New(&second, "info", "edge-2")
	now := time.Now()
	b.LeadershipAcquired(41, 7, false)
	a.ConfigAdopted(1, 2, 3, 4, 5)
	a.TargetChanged("i-1", "s", "ready", "draining", 9)
	a.TargetChanged("i-9", "s", "", "ready", 9)
	b.OrderAnswered(events.Order{Kind: "load", Target: "i-1", Adapter: "m/a", Result: "conflict"})
	a.AttemptFailed(events.Attempt{ID: "r1", Target: "i-1", DecidedBy: "edge-2", Adapter: "m/a", Class: "busy", Status: 503})
	a.RequestEnded(now, events.Request{
		ID: "r1", Route: "x", Outcome: "refused", Reason: "not_run", Status: 503, Attempts: 1, Target: "i-1", DecidedBy: "edge-2",
		Adapter: "m/a", Took: 20 * time.Millisecond, ConfigVersion: 2,
	})
	a.RequestEnded(now, events.Request{ID: "r2", Route: "x", Outcome: "refused", Reason: "not_run"})
	a.RequestEnded(now, events.Request{ID: "r3", Route: "y", Outcome: "cut", Reason: "stream_cut"})
	a.RequestEnded(now, events.Request{ID: "r4", Outcome: "ok"})
	a.AttemptFailed(events.Attempt{ID: "r5", Class: "failed"})
	a.Close()
	b.Close()
	lines, skipped, err := Read(strings.NewReader("not a log line\n   0.1 edge-1 " + first.String() + second.String()))
	assert.NilError(t, err)
	assert.Equal(t, skipped, 1)
	Sort(lines)
	return lines
}

func TestExplainCombinesLogsOfSeveralVMs(t *testing.T) {
	e, err := Explain(sampleLines(t), "r1")
	assert.NilError(t, err)
	assert.Equal(t, len(e.RequestLines), 2)
	var related []string
	for _, l := range e.RelatedLines {
		related = append(related, l.Event)
	}
	text := strings.Join(related, " ")
	for _, want := range []string{"duty_taken", "config_adopted", "target_changed", "order_answered"} {
		assert.Assert(t, strings.Contains(text, want), "%s does not contain %s", text, want)
	}
	assert.Equal(t, strings.Count(text, "target_changed"), 1, "i-9 is not related to the request")
	assert.Assert(t, strings.Contains(e.Conclusion, "refused (not_run), status 503; attempt 1 was at i-1, chosen by edge-2"), e.Conclusion)
}

// TestExplainShowsWhereStreamWentOn checks that the requests that take a stream up belong to its history.
func TestExplainShowsWhereStreamWentOn(t *testing.T) {
	var log bytes.Buffer
	l := events.New(&log, "info", "edge-1")
	now := time.Now()
	l.RequestEnded(now, events.Request{ID: "r1", Outcome: "cut", Target: "i-1", Sent: events.SendInfo{SoftwareVersion: "v1"}})
	l.RequestEnded(now, events.Request{ID: "r2", FirstAttemptID: "r1", Outcome: "refused", Reason: "stream_origin_unknown"})
	l.RequestEnded(now, events.Request{ID: "r3", FirstAttemptID: "other", Outcome: "cut"})
	l.Close()
	lines, _, err := Read(&log)
	assert.NilError(t, err)
	e, err := Explain(lines, "r1")
	assert.NilError(t, err)
	assert.Equal(t, len(e.RequestLines), 2)
	assert.Equal(t, e.RequestLines[0].Fields["software"], "v1")
	assert.Assert(t, strings.Contains(e.Conclusion, "stream_origin_unknown"), e.Conclusion)
}

func TestExplainUnknownAndUnfinishedRequests(t *testing.T) {
	lines := sampleLines(t)
	_, err := Explain(lines, "nobody")
	assert.Assert(t, errors.Is(err, ErrRequestNotFound))
	e, err := Explain(lines, "r5")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(e.Conclusion, "no line closes it"))
}

func TestCausesCountsUnsuccessfulRequests(t *testing.T) {
	got := Causes(sampleLines(t))
	assert.DeepEqual(t, got, []Cause{
		{Outcome: "refused", Reason: "not_run", Route: "x", Count: 2, Example: "r1"},
		{Outcome: "cut", Reason: "stream_cut", Route: "y", Count: 1, Example: "r3"},
	})
}

func FuzzParse(f *testing.F) {
	f.Add(`timestamp=2026-01-02T03:04:05Z level=info message=x a="b c" vm=v`)
	f.Add(`timestamp=`)
	f.Add(`timestamp=x message="`)
	f.Fuzz(func(t *testing.T, text string) {
		if l, ok := parse(text); ok {
			_ = l.String()
		}
	})
}

// TestConclusionExplainsKeyCheck verifies that the conclusion of a request that was denied or
// refused because of its key or the quota of its team states the reason.
func TestConclusionExplainsKeyCheck(t *testing.T) {
	var out bytes.Buffer
	l := events.New(&out, "info", "edge-1")
	now := time.Now()
	key := []byte{0xab, 0xcd, 0x01, 0x02}
	l.RequestEnded(now, events.Request{ID: "over", Outcome: "refused", Reason: "quota", Status: 429, Key: key, Team: "crew", ConfirmedAge: 700 * time.Millisecond})
	l.RequestEnded(now, events.Request{ID: "unknown", Outcome: "denied", Reason: "unknown_key", Status: 401, Key: key, ConfirmedAge: time.Second})
	l.RequestEnded(now, events.Request{ID: "old", Outcome: "refused", Reason: "keys_not_current", Status: 503, ConfirmedAge: 6 * time.Second})
	l.Close()
	lines, _, err := Read(&out)
	assert.NilError(t, err)
	for id, want := range map[string]string{
		"over":    "refused (quota), status 429",
		"unknown": "key abcd0102, which no team of that configuration has, by a copy proven current 1000 ms before",
		"old":     "no key could be judged, as the copy was proven current 6000 ms before",
	} {
		e, err := Explain(lines, id)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(e.Conclusion, want), e.Conclusion)
	}
}
