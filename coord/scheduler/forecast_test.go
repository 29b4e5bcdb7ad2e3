package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestHopelessRequestIsRefusedAtOnce fills the load queue for longer than callers wait. It guards
// against requests that are held until their caller leaves although that is known when they arrive.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	cfg := config(4)
	cfg.MaxLoads = 1
	h := newHarness(t, cfg, nil)
	submit := func(i int) {
		h.ticket++
		h.collect(h.s.Submit(h.now, Request{
			Key: Key{VM: "vm", Ticket: h.ticket}, Ref: ref(fmt.Sprintf("x%d", i)), PromptTokens: 100, OutputTokens: 10,
			Objective: 800 * time.Millisecond, Deadline: h.now.Add(15 * time.Second), FirstEventDeadline: h.now.Add(3 * time.Second),
		}))
	}
	for i := range 40 {
		submit(i)
	}
	h.advance(20 * time.Millisecond)
	refused, soonest, latest := 0, time.Hour, time.Duration(0)
	for _, a := range h.drain() {
		if a.Kind != ActRefuse {
			continue
		}
		refused++
		soonest, latest = min(soonest, a.RetryAfter), max(latest, a.RetryAfter)
		assert.Assert(t, a.Forecast > 4500*time.Millisecond-20*time.Millisecond)
	}
	// Some 16 loads of 265 ms end within 4.5 s, 1.5 times as long as callers wait.
	assert.Assert(t, refused >= 22 && refused <= 26, "%d refused", refused)
	assert.Assert(t, soonest > 3*time.Second && latest <= 5*time.Second && latest-soonest > 500*time.Millisecond, "callers return between %v and %v", soonest, latest)
	h.s.SetLease(h.now, 0)
	submit(99)
	h.advance(20 * time.Millisecond)
	h.expectActions() // the time until a lease is unknown
}
