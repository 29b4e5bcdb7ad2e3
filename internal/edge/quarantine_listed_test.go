package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/quarantine"
	"github.com/junctionfold/junctionfold/coord/roster"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/feed"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/schema"
)

// listedFleet is a VM that judges crashes, and the store that lists the targets.
type listedFleet struct {
	node     *Node
	now      time.Time
	revision fleet.Revision
	ticket   uint64
	// storeDown is set while the VM gets no news of the store.
	storeDown bool
}

func newListedFleet(t *testing.T, targets ...string) *listedFleet {
	t.Helper()
	f := &listedFleet{now: time.Unix(1_000_000, 0)}
	log := events.Discard()
	t.Cleanup(log.Close)
	f.node = &Node{settings: &schema.EdgeSettings{Vm: &schema.EdgeVM{Id: "vm"}}, log: log, now: func() time.Time { return f.now }}
	f.node.leader.Store(new(coord.VMID))
	f.node.roster = roster.New(roster.Config{Start: f.now}, roster.Entry{ID: "vm"})
	f.node.quarantine = newContentQuarantine(f.node)
	f.node.feed = feed.New(feed.Config{
		Decode: func(item fleet.Item) (fleet.Decoded, error) {
			return fleet.Decoded{Target: &fleet.Target{ID: item.Key}}, nil
		},
		OnChange: func(*feed.Directory) {}, OnRemoved: func([]string) {}, Log: log, Now: f.node.now,
		ApplyWithin: 2 * time.Second, DrainWithin: 2 * time.Second,
	})
	f.list(t, 0, targets...)
	return f
}

// list makes the VM read the whole store in an epoch.
func (f *listedFleet) list(t *testing.T, epoch uint64, targets ...string) {
	t.Helper()
	revision, err := fleet.NewRevision(epoch, 1)
	assert.NilError(t, err)
	var items []fleet.Item
	for _, target := range targets {
		items = append(items, fleet.Item{Key: target, Revision: revision})
	}
	f.update(feed.Update{Snapshot: true, To: revision, Items: items})
}

// mergeFindings applies a finding of the leader, by which a content is blocked.
func (f *listedFleet) mergeFindings(content quarantine.Digest, targets ...string) {
	f.node.quarantine.mergeFindings(&schema.Suspects{Suspects: []*schema.Suspect{{Content: content[:], Targets: targets, HeldMs: 600_000}}})
}

func (f *listedFleet) update(u feed.Update) {
	f.revision = u.To
	u.ReadCount = uint64(f.now.UnixMilli())
	f.node.feed.Apply(u)
}

// advance lets time pass. The store is read several times a second.
func (f *listedFleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(100 * time.Millisecond)
		if !f.storeDown {
			f.update(feed.Update{From: f.revision, To: f.revision})
		}
		f.node.feed.Expire()
		f.node.quarantine.tick()
	}
}

// disconnect sends requests of several contents to a target, where their connections are reset.
func (f *listedFleet) disconnect(target string, contents ...quarantine.Digest) {
	for i, content := range contents {
		f.node.quarantine.requestStarted("vm", f.ticket+uint64(i), content[:], target, 10*time.Second, nil)
	}
	f.now = f.now.Add(50 * time.Millisecond)
	for range contents {
		f.node.quarantine.requestEnded("vm", f.ticket, schema.Ending_ENDING_BROKE)
		f.ticket++
	}
}

// unlist removes the entry of a target, as the store does when the target sends no heartbeats.
func (f *listedFleet) unlist(target string) {
	next := f.revision + 1
	f.update(feed.Update{From: f.revision, To: next, Items: []fleet.Item{{Key: target, Revision: next, Deleted: true}}})
}

// crash disconnects requests whose target crashes, and whose entry expires after three heartbeats.
func (f *listedFleet) crash(target string, contents ...quarantine.Digest) {
	f.disconnect(target, contents...)
	f.advance(3600 * time.Millisecond)
	f.unlist(target)
}

// refusal returns the reason for which a new request is refused; empty: it may run.
func (f *listedFleet) refusal(content quarantine.Digest) string {
	f.ticket++
	v := f.node.quarantine.check("vm", &schema.Admit{Ticket: f.ticket, Content: content[:]}, nil)
	return v.GetReason()
}

// confirmationTime is how long a block may last although a target that counts as crashed goes on.
const confirmationTime = 8 * time.Second

// TestHarmlessContentIsReleasedWhenItsTargetGoesOn guards against harmless contents that are blocked
// for ten minutes. Two engines crashed beside a content; then a VM was cut off from its targets, and
// one of its requests was reset. One reset request is no sign of a broken path, so it counted as the
// third crash (soak seed 5001). Another VM lost its connections to two targets together as a cut
// ended, and judged with a table that did not know the requests of others there (seed 9238).
func TestHarmlessContentIsReleasedWhenItsTargetGoesOn(t *testing.T) {
	content, crashing := quarantine.Digest{1}, quarantine.Digest{2}
	for name, disconnects := range map[string]func(f *listedFleet){
		"two crashes before": func(f *listedFleet) {
			f.crash("a", content, crashing)
			f.crash("b", content, crashing)
			f.disconnect("c", content)
		},
		"a crash after": func(f *listedFleet) {
			f.crash("a", content, crashing)
			f.disconnect("c", content, crashing)
			f.advance(time.Second)
			f.disconnect("b", content, crashing)
			f.unlist("b")
		},
		"two targets reset together": func(f *listedFleet) {
			f.disconnect("c", content)
			f.disconnect("d", content)
		},
		"findings of another VM": func(f *listedFleet) {
			f.mergeFindings(content, "a", "b", "c")
			f.unlist("a")
			f.unlist("b")
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newListedFleet(t, "a", "b", "c", "d")
			f.advance(10 * time.Second)
			disconnects(f)
			f.advance(500 * time.Millisecond)
			assert.Equal(t, f.refusal(content), quarantine.ReasonBlocked, "evidence counts at once")
			f.advance(confirmationTime)
			assert.Equal(t, f.refusal(content), "")
		})
	}
}

// TestCrashingContentStaysBlocked guards against crashing contents that are released because their
// targets seem to go on: an entry stays in the store for three heartbeats, and as long as the store
// is not read.
func TestCrashingContentStaysBlocked(t *testing.T) {
	content := quarantine.Digest{1}
	for name, crashes := range map[string]func(f *listedFleet){
		"entries expire": func(f *listedFleet) {
			f.crash("a", content)
			f.crash("b", content)
		},
		"a false one beside": func(f *listedFleet) {
			f.crash("a", content)
			f.disconnect("c", content)
			f.advance(time.Second)
			f.crash("b", content)
			f.crash("d", content)
		},
		"findings of another VM": func(f *listedFleet) {
			f.mergeFindings(content, "a", "b")
			f.unlist("a")
			f.advance(3600 * time.Millisecond)
			f.unlist("b")
		},
		"the store is down": func(f *listedFleet) {
			f.storeDown = true
			f.advance(2 * time.Second)
			f.disconnect("a", content)
			f.disconnect("b", content)
			f.advance(20 * time.Second)
			f.storeDown = false
			f.advance(3600 * time.Millisecond)
			f.unlist("a")
			f.unlist("b")
		},
		"the VM is suspended": func(f *listedFleet) {
			f.disconnect("a", content)
			f.disconnect("b", content)
			f.advance(400 * time.Millisecond)
			f.now = f.now.Add(20 * time.Second)
			f.advance(3600 * time.Millisecond)
			f.unlist("a")
			f.unlist("b")
		},
		"the store is restored": func(f *listedFleet) {
			f.disconnect("a", content)
			f.disconnect("b", content)
			f.advance(3500 * time.Millisecond)
			f.list(t, 1, "a", "b", "c", "d")
			f.advance(3600 * time.Millisecond)
			f.unlist("a")
			f.unlist("b")
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newListedFleet(t, "a", "b", "c", "d")
			f.advance(10 * time.Second)
			crashes(f)
			f.advance(confirmationTime)
			assert.Equal(t, f.refusal(content), quarantine.ReasonBlocked)
		})
	}
}
