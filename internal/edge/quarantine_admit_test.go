package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/quarantine"
	"github.com/junctionfold/junctionfold/coord/roster"
	"github.com/junctionfold/junctionfold/internal/clock"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/feed"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/schema"
)

// placingLeader is the leader of a fleet with one plain target, whose slots are all taken.
type placingLeader struct {
	*Node
	ctx context.Context
	// running holds the tickets of the requests that take the slots.
	running []uint64
}

func newPlacingLeader(t *testing.T) *placingLeader {
	t.Helper()
	startedAt := time.Now()
	log := events.Discard()
	t.Cleanup(log.Close)
	n := &Node{settings: &schema.EdgeSettings{Vm: &schema.EdgeVM{Id: "a"}}, log: log, leaderMonitor: newLeaderMonitor()}
	n.clock, _ = clock.New(clock.Source{
		Monotonic: time.Now, BootTime: func() (time.Duration, error) { return time.Since(startedAt), nil },
	})
	n.now = n.clock.Now
	leader := coord.VMID("a")
	n.leader.Store(&leader)
	n.roster = roster.New(roster.Config{Start: startedAt}, roster.Entry{ID: "a"})
	n.quotas, n.quarantine, n.reachability = newQuotas(n, &schema.EdgeQuota{}), newContentQuarantine(n), newReachability(n)
	n.rateLimits, n.rejectionLimits = newRateLimits(n), newRejectionLimits(n)
	n.queues, n.schedulers = newQueues(n), newSchedulers(n)
	n.feed = feed.New(feed.Config{Log: log, Now: n.now})
	n.queues.apply(&feed.Directory{
		Config:  &fleet.Config{Services: map[string]*fleet.Service{"s": {}}},
		Targets: map[string]*fleet.Target{"p": {ID: "p", Service: "s", Slots: 8, State: fleet.TargetReady}},
	})
	n.queues.setLeading(true)
	l := &placingLeader{Node: n, ctx: t.Context()}
	for ticket := uint64(1); ; ticket++ {
		verdict := l.admitSoon(ticket, quarantine.Digest{byte(100 + ticket)})
		synctest.Wait()
		if len(verdict) == 0 {
			l.done("b", &schema.Done{Ticket: ticket, Service: "s", Plain: true, Ending: schema.Ending_ENDING_ABANDONED})
			return l
		}
		assert.Equal(t, (<-verdict).Target, "p")
		l.running = append(l.running, ticket)
	}
}

// admitSoon submits a request of another VM and returns a channel for the decision.
func (l *placingLeader) admitSoon(ticket uint64, content quarantine.Digest) <-chan *schema.Verdict {
	verdict := make(chan *schema.Verdict, 1)
	ctx := l.ctx
	go func() {
		verdict <- l.admit(ctx, "b", &schema.Admit{Ticket: ticket, Service: "s", Plain: true, Content: content[:], LeftMs: 10_000})
	}()
	return verdict
}

// freeSlots ends the requests that take the slots, so that those that wait are placed.
func (l *placingLeader) freeSlots() {
	for _, ticket := range l.running {
		l.done("b", &schema.Done{Ticket: ticket, Service: "s", Plain: true, Ending: schema.Ending_ENDING_OK, TookMs: 50})
	}
	synctest.Wait()
}

// suspect makes contents suspect, or blocks them if held.
func (l *placingLeader) suspect(held time.Duration, contents ...quarantine.Digest) {
	m := &schema.Suspects{}
	for _, content := range contents {
		m.Suspects = append(m.Suspects, &schema.Suspect{Content: content[:], Targets: []string{"crashed"}, HeldMs: held.Milliseconds()})
	}
	l.quarantine.mergeFindings(m)
}

// TestSuspectsThatWaitAreNotPlacedTogether guards against harmless contents that are blocked because
// they ran beside a crashing one, when both were suspect already. Both waited for the same target,
// and what runs where was looked at before the wait only (soak seed 9238: three engines crashed under
// both within 0.8 s).
func TestSuspectsThatWaitAreNotPlacedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPlacingLeader(t)
		x, y := quarantine.Digest{1}, quarantine.Digest{2}
		l.suspect(0, x, y)
		first, second := l.admitSoon(1001, x), l.admitSoon(1002, y)
		synctest.Wait()
		assert.Equal(t, len(first)+len(second), 0, "both wait")
		l.freeSlots()
		placed, refused := <-first, <-second
		if placed.Target == "" {
			placed, refused = refused, placed
		}
		assert.Equal(t, placed.Target, "p")
		assert.Equal(t, refused.Target, "")
		assert.Equal(t, refused.Reason, quarantine.ReasonSuspect)
		assert.Assert(t, refused.RetryAfterMs > 0)
	})
}

// TestContentThatIsBlockedWhileItWaitsIsNotPlaced guards against crashing contents that are sent to
// another target because their request waited while the last crash was evaluated.
func TestContentThatIsBlockedWhileItWaitsIsNotPlaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPlacingLeader(t)
		x := quarantine.Digest{1}
		verdict := l.admitSoon(1001, x)
		synctest.Wait()
		assert.Equal(t, len(verdict), 0, "it waits")
		l.suspect(10*time.Minute, x)
		l.freeSlots()
		v := <-verdict
		assert.Equal(t, v.Target, "")
		assert.Equal(t, v.Reason, quarantine.ReasonBlocked)
		assert.Equal(t, l.queues.services["s"].queue.TargetOf(coord.RequestKey{VM: "b", Ticket: 1001}), "", "its slot is free")
	})
}

// TestRequestsOfOneSuspectContentThatWaitRunOneByOne guards against contents of which several requests
// run at once, because the first crash happened while they waited.
func TestRequestsOfOneSuspectContentThatWaitRunOneByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPlacingLeader(t)
		x := quarantine.Digest{1}
		var verdicts []<-chan *schema.Verdict
		for i := range 3 {
			verdicts = append(verdicts, l.admitSoon(1001+uint64(i), x))
		}
		synctest.Wait()
		l.suspect(0, x)
		l.freeSlots()
		placed := 0
		for _, verdict := range verdicts {
			v := <-verdict
			if v.Target != "" {
				placed++
			} else {
				assert.Equal(t, v.Reason, quarantine.ReasonSuspect)
			}
		}
		assert.Equal(t, placed, 1)
	})
}
