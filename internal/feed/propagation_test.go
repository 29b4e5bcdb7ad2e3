package feed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// Parameters of a fleet of the size at which requests were sent to leaving targets.
const (
	fleetVMs      = 66
	fleetWatchers = 2
	gossipEvery   = 300 * time.Millisecond
	gossipFanout  = 3
	// idleMessageDelay is the delay of a message between idle VMs, busyMessageDelay of one between
	// busy VMs whose links are nearly saturated.
	idleMessageDelay = 10 * time.Millisecond
	busyMessageDelay = 100 * time.Millisecond
	storeLatency     = 4 * time.Millisecond
	// gossipRounds is the number of messages after which all VMs have received a change.
	gossipRounds = 5
	// storeTimeout is when a call to an unresponsive store times out, in addition to its wait.
	storeTimeout = 1200 * time.Millisecond
)

// vmFleet simulates the feeds of a fleet and one store in virtual time. Lock order: no other lock
// is acquired while vmFleet.mu is held.
type vmFleet struct {
	feeds    []*Feed
	mu       sync.Mutex
	rand     *rand.Rand
	items    map[string]fleet.Item
	revision fleet.Revision
	// log holds all changes of the current history.
	log []fleet.Item
	// changed is closed and replaced at each change of the store.
	changed chan struct{}
	// rejected holds the VMs that the store does not serve. If hangs is true, calls of these VMs
	// time out instead of failing at once.
	rejected     map[int]bool
	hangs        bool
	messageDelay time.Duration // delay of a message between VMs
	watchCalls   int
	listCalls    int
	// isolated VMs reach no other VM. inboundDelay is the additional delay of messages to a VM.
	isolated     map[int]bool
	inboundDelay map[int]time.Duration
	// learnedAt is when each VM learned that the target leaves.
	learnedAt map[int]time.Time
	network   *network
}

// fleetVM is one VM of the fleet. It implements the store and the peers of its feed.
type fleetVM struct {
	fleet *vmFleet
	n     int
}

func (f *vmFleet) put(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	f.items[key] = put(key, value, f.revision)
	f.log = append(f.log, f.items[key])
	close(f.changed)
	f.changed = make(chan struct{})
}

// checkAvailable returns an error if the store rejects the VM. wait is the wait of the call.
func (v *fleetVM) checkAvailable(ctx context.Context, wait time.Duration) error {
	v.fleet.mu.Lock()
	rejected, hangs := v.fleet.rejected[v.n], v.fleet.hangs
	v.fleet.mu.Unlock()
	time.Sleep(storeLatency)
	if rejected && hangs {
		time.Sleep(wait + storeTimeout)
	}
	if rejected {
		return errors.New("rejected by the store")
	}
	return ctx.Err()
}

func (v *fleetVM) List(ctx context.Context, _ string) ([]fleet.Item, fleet.Revision, error) {
	if err := v.checkAvailable(ctx, 0); err != nil {
		return nil, 0, err
	}
	items, revision, _ := v.changesAfter(0)
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	v.fleet.listCalls++
	return items, revision, nil
}

func (v *fleetVM) changesAfter(revision fleet.Revision) ([]fleet.Item, fleet.Revision, chan struct{}) {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	var out []fleet.Item
	for _, i := range v.fleet.items {
		if i.Revision.Number() > revision.Number() {
			out = append(out, i)
		}
	}
	return out, v.fleet.revision, v.fleet.changed
}

func (v *fleetVM) Watch(ctx context.Context, _ string, after fleet.Revision, wait time.Duration) ([]fleet.Item, fleet.Revision, error) {
	v.fleet.mu.Lock()
	v.fleet.watchCalls++
	v.fleet.mu.Unlock()
	if err := v.checkAvailable(ctx, wait); err != nil {
		return nil, 0, err
	}
	items, current, changed := v.changesAfter(after)
	if after.Number() > current.Number() {
		return nil, 0, fleet.ErrCompacted
	}
	if len(items) == 0 && wait > 0 {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
		}
		items, current, _ = v.changesAfter(after)
	}
	return items, current, v.checkAvailable(ctx, 0)
}

func (v *fleetVM) Revision(context.Context) (fleet.Revision, error) { return 0, nil }

func (v *fleetVM) IsStoreWatcher() bool { return v.n < fleetWatchers }

func (v *fleetVM) VMCount() int { return fleetVMs }

func (v *fleetVM) Relay(u Update) {
	for n, other := range v.fleet.feeds {
		if n != v.n {
			v.send(n, func() { other.ApplyFromPeer(vmID(v.n), u) })
		}
	}
}

func vmID(n int) coord.VMID { return coord.VMID(fmt.Sprint(n)) }

func (v *fleetVM) Pull(ctx context.Context, after fleet.Revision) (Update, error) {
	return v.PullFrom(ctx, vmID(v.fleet.randomVM()), after)
}

func (v *fleetVM) QueryStoreWatcher(ctx context.Context) (coord.VMID, Confirmation, error) {
	n := v.fleet.randomVM() % fleetWatchers
	if err := v.sendRequest(ctx, n); err != nil {
		return vmID(n), Confirmation{}, err
	}
	confirmation := v.fleet.feeds[n].Confirmation()
	return vmID(n), confirmation, v.awaitResponse(ctx)
}

func (v *fleetVM) PullConfig(ctx context.Context, vm coord.VMID) (fleet.Item, error) {
	for n, other := range v.fleet.feeds {
		if vmID(n) != vm {
			continue
		}
		if err := v.sendRequest(ctx, n); err != nil {
			return fleet.Item{}, err
		}
		if item, ok := other.ActiveConfig(); ok {
			return item, v.awaitResponse(ctx)
		}
	}
	return fleet.Item{}, errors.New("no configuration is in force")
}

func (v *fleetVM) PullFrom(ctx context.Context, vm coord.VMID, after fleet.Revision) (Update, error) {
	for n, other := range v.fleet.feeds {
		if vmID(n) != vm {
			continue
		}
		if err := v.sendRequest(ctx, n); err != nil {
			return Update{}, err
		}
		if u, ok := other.ChangesSince(after); ok {
			return u, v.awaitResponse(ctx)
		}
	}
	return Update{}, errors.New("the peer has no data")
}

// sendRequest simulates the transit of a request to another VM.
func (v *fleetVM) sendRequest(ctx context.Context, n int) error {
	time.Sleep(v.fleet.messageDelay)
	if v.fleet.isIsolated(v.n) || v.fleet.isIsolated(n) {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// awaitResponse simulates the transit of a response.
//
// It does not wait if there is no delay: a select on a timer of 0 s, run in virtual time under the
// race detector, ended 3 of 16 runs of these tests with a fault inside the detector's runtime, and
// none of 24 without it.
func (v *fleetVM) awaitResponse(ctx context.Context) error {
	delay := v.fleet.inboundDelayOf(v.n)
	if delay == 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *vmFleet) isIsolated(n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isolated[n]
}

func (f *vmFleet) inboundDelayOf(n int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inboundDelay[n]
}

func (f *vmFleet) randomVM() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rand.IntN(len(f.feeds))
}

// send runs deliver after the delay of a message to VM n, unless one of the two VMs is isolated by
// then.
func (v *fleetVM) send(n int, deliver func()) {
	v.fleet.network.send(v.fleet.messageDelay+v.fleet.inboundDelayOf(n), func() {
		if !v.fleet.isIsolated(v.n) && !v.fleet.isIsolated(n) {
			deliver()
		}
	})
}

// gossip makes the VMs in turn report the state of their copies to some others, as heartbeats do.
func (f *vmFleet) gossip(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n = (n + 1) % fleetVMs {
		v := &fleetVM{fleet: f, n: n}
		for range gossipFanout {
			state := f.feeds[n].State()
			other := f.randomVM()
			v.send(other, func() { f.feeds[other].ObserveState(vmID(n), state) })
		}
		time.Sleep(gossipEvery / fleetVMs)
	}
}

// start runs the feeds, the gossip and the network until the context ends.
func (f *vmFleet) start(ctx context.Context) {
	for _, feed := range f.feeds {
		go feed.Run(ctx)
	}
	go f.gossip(ctx)
	go f.network.run(ctx)
}

func (v *fleetVM) onChange(d *Directory) {
	t := d.Targets[leavingValue]
	if t == nil || t.State != fleet.TargetDraining {
		return
	}
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	if v.fleet.learnedAt[v.n].IsZero() {
		v.fleet.learnedAt[v.n] = time.Now()
	}
}

func newVMFleet(seed uint64, apply, drain time.Duration, log *events.Log) *vmFleet {
	f := &vmFleet{
		rand: rand.New(rand.NewPCG(seed, 0)), items: map[string]fleet.Item{}, changed: make(chan struct{}),
		rejected: map[int]bool{}, learnedAt: map[int]time.Time{}, isolated: map[int]bool{}, inboundDelay: map[int]time.Duration{}, network: newNetwork(),
	}
	f.put("c", "1")
	f.put("t1", "x")
	for n := range fleetVMs {
		v := &fleetVM{fleet: f, n: n}
		f.feeds = append(f.feeds, New(Config{
			Store: v, Peers: v, Prefixes: []string{""}, Decode: decode, Trim: func(i fleet.Item) fleet.Item { return i },
			ApplyWithin: apply, DrainWithin: drain, OnChange: v.onChange, OnRemoved: func([]string) {}, Log: log, Now: time.Now,
		}))
	}
	return f
}

// run starts the fleet, makes the store reject a share of the VMs, starting with the watchers,
// drains a target some time later, and returns the time until the last VM learned of it.
func (f *vmFleet) run(ctx context.Context, share float64) (latest time.Duration) {
	f.start(ctx)
	time.Sleep(3 * time.Second)
	f.mu.Lock()
	for n := range int(share * fleetVMs) {
		f.rejected[n] = true
	}
	delay := time.Duration(f.rand.Int64N(int64(4 * time.Second)))
	f.mu.Unlock()
	time.Sleep(delay)
	leftAt := time.Now()
	f.put("t1", leavingValue)
	time.Sleep(5 * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.learnedAt) < fleetVMs {
		return time.Hour
	}
	for _, at := range f.learnedAt {
		latest = max(latest, at.Sub(leftAt))
	}
	return latest
}

// TestLeavingTargetIsKnownEverywhereWithinTheBound verifies that every VM learns of a leaving
// target within PropagationBound while the store rejects a part of the VMs, including all watchers,
// and serves the others.
//
// The rows with busy VMs guard against copies that never age, which let requests reach an engine
// over 3 s after it had announced that it leaves. A VM reads the store directly when its copy has
// not been known to be current for a while, and learns from heartbeats how current the copies of
// its peers are. The age in a heartbeat was applied as if it were true on receipt, so each message
// made copies fresher by its transit time. Repeated among VMs with message delays of 100 ms, copies
// hardly aged, and no VM read the store. In four series of 20 runs, the leave took up to 2.69 to
// 3.46 s to spread with message delays of 100 ms and 3.24 to 4.48 s with 200 ms, where the bound is
// 1.75 s, and up to 1.49 to 1.67 s with 10 ms.
func TestLeavingTargetIsKnownEverywhereWithinTheBound(t *testing.T) {
	log := events.Discard()
	defer log.Close()
	for _, row := range []struct {
		name                       string
		apply, drain, messageDelay time.Duration
		hangs                      bool
	}{
		{"small fleets", 2 * time.Second, 2 * time.Second, idleMessageDelay, false},
		{"small fleets, unresponsive store", 2 * time.Second, 2 * time.Second, idleMessageDelay, true},
		{"large fleets", 3 * time.Second, 3 * time.Second, idleMessageDelay, false},
		{"large fleets, unresponsive store", 3 * time.Second, 3 * time.Second, idleMessageDelay, true},
		{"a longer limit for configurations", 6 * time.Second, 2 * time.Second, idleMessageDelay, false},
		{"busy VMs", 3 * time.Second, 3 * time.Second, busyMessageDelay, false},
		{"busy VMs, unresponsive store", 3 * time.Second, 3 * time.Second, busyMessageDelay, true},
		{"very busy VMs, unresponsive store", 3 * time.Second, 3 * time.Second, 2 * busyMessageDelay, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			worst := time.Duration(0)
			for seed := range uint64(20) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					f := newVMFleet(seed, row.apply, row.drain, log)
					f.hangs, f.messageDelay = row.hangs, row.messageDelay
					worst = max(worst, f.run(ctx, 0.45))
					cancel()
					time.Sleep(5 * time.Second) // feeds and calls in flight end
				})
			}
			t.Logf("worst %v", worst)
			assert.Assert(t, worst <= PropagationBound(row.apply, row.drain)+gossipRounds*row.messageDelay, "%v", worst)
			assert.Assert(t, PropagationBound(row.apply, row.drain) < row.drain)
		})
	}
}

// TestCallRateDuringStoreOutage verifies that all 66 VMs together call a store that rejects
// everyone for 10 s no more than some 20 to 50 times a second, and that a change spreads in time
// when the store is back. With four attempts a second by each VM, there were 2,300 calls.
func TestCallRateDuringStoreOutage(t *testing.T) {
	log := events.Discard()
	defer log.Close()
	const bound = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newVMFleet(1, bound, bound, log)
		f.messageDelay = idleMessageDelay
		f.start(ctx)
		time.Sleep(3 * time.Second)
		setRejected := func(rejected bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			for n := range f.feeds {
				f.rejected[n] = rejected
			}
		}
		f.mu.Lock()
		f.watchCalls = 0
		f.mu.Unlock()
		setRejected(true)
		time.Sleep(10 * time.Second)
		f.mu.Lock()
		watchCalls := f.watchCalls
		f.mu.Unlock()
		t.Logf("%d calls in 10 s", watchCalls)
		assert.Assert(t, watchCalls < 500, "%d calls", watchCalls)
		f.put("t1", leavingValue)
		setRejected(false)
		recoveredAt := time.Now()
		time.Sleep(bound)
		f.mu.Lock()
		assert.Equal(t, len(f.learnedAt), fleetVMs)
		for _, at := range f.learnedAt {
			assert.Assert(t, at.Sub(recoveredAt) < time.Second, "%v", at.Sub(recoveredAt))
		}
		f.mu.Unlock()
		cancel()
		time.Sleep(5 * time.Second)
	})
}
