package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/dispatch"
)

var (
	start = time.Unix(100, 0)
	a     = coord.Adapter{Name: "a", Version: "1"}
	b     = coord.Adapter{Name: "b", Version: "1"}
	c     = coord.Adapter{Name: "c", Version: "1"}
	all   = []coord.Adapter{a, b, c}
)

func newDispatcher(change func(*dispatch.Config)) *dispatch.Dispatcher {
	cfg := dispatch.DefaultConfig()
	cfg.Residency.Slots, cfg.Batch, cfg.QueueLimit = 1, 2, 4
	if change != nil {
		change(&cfg)
	}
	return dispatch.New(cfg)
}

func request(handle uint64, adapter coord.Adapter, rank int) dispatch.Request {
	return dispatch.Request{Handle: handle, Adapter: adapter, Rank: rank, Deadline: start.Add(time.Minute)}
}

// loadAdapter loads an adapter into the target and returns the resulting actions.
func loadAdapter(t *testing.T, d *dispatch.Dispatcher, now time.Time, adapter coord.Adapter) []dispatch.Action {
	t.Helper()
	acts := d.PermitGranted(now)
	if acts[0].Kind == dispatch.ActUnload {
		acts = d.Unloaded(now, acts[0].Name, true)
	}
	assert.Equal(t, acts[0].Kind, dispatch.ActLoad)
	assert.Equal(t, acts[0].Adapter, adapter)
	return d.Loaded(now, adapter)
}

func handles(acts []dispatch.Action, kind dispatch.ActionKind) []uint64 {
	var out []uint64
	for _, act := range acts {
		if act.Kind == kind {
			out = append(out, act.Handle)
		}
	}
	return out
}

// TestOneLoadServesAllWaiters checks that one load starts all waiting requests of its adapter.
func TestOneLoadServesAllWaiters(t *testing.T) {
	d := newDispatcher(nil)
	acts := d.Submit(start, request(1, a, 0))
	assert.Equal(t, acts[0].Kind, dispatch.ActRequestPermit)
	second := d.Submit(start, request(2, a, 0)) // it raises the priority of the load
	assert.Equal(t, len(second), 1)
	assert.Equal(t, second[0].Kind, dispatch.ActRaisePermit)
	assert.DeepEqual(t, handles(loadAdapter(t, d, start, a), dispatch.ActStart), []uint64{1, 2})
}

// TestRefusals checks the cause of each kind of refusal.
func TestRefusals(t *testing.T) {
	for _, row := range []struct {
		name  string
		apply func(t *testing.T, d *dispatch.Dispatcher) []dispatch.Action
		want  dispatch.Cause
	}{
		{"the queue is full", func(_ *testing.T, d *dispatch.Dispatcher) []dispatch.Action {
			for i := range uint64(4) {
				d.Submit(start, request(i+1, a, 0))
			}
			return d.Submit(start, request(9, a, 0))
		}, dispatch.CauseQueueFull},
		{"the deadline is nearer than the load", func(_ *testing.T, d *dispatch.Dispatcher) []dispatch.Action {
			r := request(9, a, 0)
			r.Deadline = start.Add(time.Millisecond)
			return d.Submit(start, r)
		}, dispatch.CauseDeadline},
		{"the deadline passes in the queue", func(_ *testing.T, d *dispatch.Dispatcher) []dispatch.Action {
			d.Submit(start, request(9, a, 0))
			return d.Tick(start.Add(2 * time.Minute))
		}, dispatch.CauseDeadline},
		{"the load fails for the last time", func(_ *testing.T, d *dispatch.Dispatcher) []dispatch.Action {
			d.Submit(start, request(9, a, 0))
			for range 2 {
				d.PermitGranted(start)
				d.LoadFailed(start, a)
			}
			d.PermitGranted(start)
			return d.LoadFailed(start, a)
		}, dispatch.CauseLoadFailed},
		{"the owner stops", func(_ *testing.T, d *dispatch.Dispatcher) []dispatch.Action {
			d.Submit(start, request(9, a, 0))
			return d.Stop(start)
		}, dispatch.CauseStopped},
		{"a request after the stop", func(_ *testing.T, d *dispatch.Dispatcher) []dispatch.Action {
			d.Stop(start)
			return d.Submit(start, request(9, a, 0))
		}, dispatch.CauseStopped},
		{"every slot is held", func(_ *testing.T, d *dispatch.Dispatcher) []dispatch.Action {
			d.Inherit(start, []string{"b@1"}, func(string) (coord.Adapter, bool) { return b, true }, true)
			return d.Submit(start, request(9, a, 0))
		}, dispatch.CauseSlotsHeld},
		{"slots become held while it waits", func(_ *testing.T, d *dispatch.Dispatcher) []dispatch.Action {
			d.Inherit(start, []string{"b@1"}, func(string) (coord.Adapter, bool) { return b, true }, true)
			d.SetHolds(start, false, nil)
			d.Submit(start, request(9, a, 0))
			return d.SetHolds(start, true, nil)
		}, dispatch.CauseSlotsHeld},
		{"too many loads are ahead", func(_ *testing.T, d *dispatch.Dispatcher) []dispatch.Action {
			d.Submit(start, request(1, a, 0))
			d.Submit(start, request(2, b, 0))
			return d.Submit(start.Add(4*time.Second), request(9, c, 0))
		}, dispatch.CauseLoadWait},
	} {
		t.Run(row.name, func(t *testing.T) {
			acts := row.apply(t, newDispatcher(nil))
			assert.DeepEqual(t, handles(acts, dispatch.ActRefuse), []uint64{9})
			for _, act := range acts {
				if act.Kind == dispatch.ActRefuse {
					assert.Equal(t, act.Cause, row.want)
				}
			}
		})
	}
}

// TestInheritedAdapterServesWithoutLoad checks that an adapter found on the target serves at once.
func TestInheritedAdapterServesWithoutLoad(t *testing.T) {
	d := newDispatcher(nil)
	d.Inherit(start, []string{"a@1"}, func(string) (coord.Adapter, bool) { return a, true }, true)
	assert.DeepEqual(t, handles(d.Submit(start, request(1, a, 0)), dispatch.ActStart), []uint64{1})
}

// TestPriorityAndAge checks that the higher rank starts first, and an old request before a new one
// of a higher rank.
func TestPriorityAndAge(t *testing.T) {
	d := newDispatcher(func(c *dispatch.Config) { c.Batch = 1; c.MaxLoadWait = time.Hour })
	d.Submit(start, request(1, a, 0))
	d.Submit(start, request(2, a, 0))
	d.Submit(start, request(3, a, 1))
	assert.DeepEqual(t, handles(loadAdapter(t, d, start, a), dispatch.ActStart), []uint64{3})
	assert.DeepEqual(t, handles(d.Finished(start, 3), dispatch.ActStart), []uint64{1})
	base := coord.Adapter{Name: "base"}
	d.Submit(start.Add(7*time.Second), dispatch.Request{Handle: 4, Adapter: base, Rank: 2, Deadline: start.Add(time.Minute)})
	assert.DeepEqual(t, handles(d.Finished(start.Add(7*time.Second), 1), dispatch.ActStart), []uint64{2})
}

// TestAbortedRequestKeepsItsAdapter guards against evicting an adapter that the target may still use:
// after a closed connection the target may continue the request for a time. After a complete response
// the adapter can be evicted at once.
func TestAbortedRequestKeepsItsAdapter(t *testing.T) {
	for _, row := range []struct {
		name           string
		end            func(*dispatch.Dispatcher, time.Time, uint64) []dispatch.Action
		evictableAfter time.Duration
	}{
		{"complete response", (*dispatch.Dispatcher).Finished, 0},
		{"aborted", (*dispatch.Dispatcher).RequestAborted, coord.AbortedRequestTime},
	} {
		t.Run(row.name, func(t *testing.T) {
			d := newDispatcher(nil)
			d.Submit(start, request(1, a, 0))
			loadAdapter(t, d, start, a)
			now := start.Add(time.Second)
			row.end(d, now, 1)
			assert.Equal(t, len(d.Slots().InUse(now)) == 0, row.evictableAfter == 0)
			d.Submit(now, request(2, b, 0))
			if row.evictableAfter > 0 {
				late := now.Add(row.evictableAfter - 1)
				d.Tick(late)
				assert.Equal(t, d.PermitGranted(late)[0].Kind, dispatch.ActReturnPermit)
			}
			d.Tick(now.Add(row.evictableAfter))
			assert.Equal(t, d.PermitGranted(now.Add(row.evictableAfter))[0].Kind, dispatch.ActUnload)
		})
	}
}

// TestDispatcherInvariants drives a dispatcher with random events and checks its guarantees after
// each event.
func TestDispatcherInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDispatcher(func(c *dispatch.Config) { c.Residency.Slots = 2 })
		m := &dispatchModel{d: d, now: start, ended: map[uint64]string{}, running: map[uint64]coord.Adapter{}}
		steps := rapid.IntRange(20, 120).Draw(t, "steps")
		for range steps {
			m.step(t)
		}
	})
}

// dispatchModel executes a dispatcher's actions and checks them.
type dispatchModel struct {
	d               *dispatch.Dispatcher
	now             time.Time
	next            uint64
	permitRequested bool
	loading         []dispatch.Action
	unloading       []dispatch.Action
	running         map[uint64]coord.Adapter
	adapters        map[uint64]coord.Adapter
	ended           map[uint64]string
}

func (m *dispatchModel) step(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 6).Draw(t, "event") {
	case 0, 1:
		m.next++
		adapter := all[rapid.IntRange(0, len(all)-1).Draw(t, "adapter")]
		if m.adapters == nil {
			m.adapters = map[uint64]coord.Adapter{}
		}
		m.adapters[m.next] = adapter
		r := request(m.next, adapter, rapid.IntRange(0, 2).Draw(t, "rank"))
		r.Deadline = m.now.Add(20 * time.Second)
		m.apply(t, m.d.Submit(m.now, r))
	case 2:
		if m.permitRequested {
			m.permitRequested = false
			m.apply(t, m.d.PermitGranted(m.now))
		}
	case 3:
		if len(m.loading) > 0 {
			act := m.loading[0]
			m.loading = nil
			if rapid.Bool().Draw(t, "loaded") {
				m.apply(t, m.d.Loaded(m.now, act.Adapter))
			} else {
				m.apply(t, m.d.LoadFailed(m.now, act.Adapter))
			}
		}
	case 4:
		if len(m.unloading) > 0 {
			act := m.unloading[0]
			m.unloading = nil
			m.apply(t, m.d.Unloaded(m.now, act.Name, true))
		}
	case 5:
		for h := range m.running {
			delete(m.running, h)
			m.apply(t, m.d.Finished(m.now, h))
			break
		}
	case 6:
		m.apply(t, m.d.Tick(m.now))
	}
}

func (m *dispatchModel) apply(t *rapid.T, acts []dispatch.Action) {
	for _, act := range acts {
		switch act.Kind {
		case dispatch.ActStart:
			m.recordEnd(t, act.Handle, "started")
			if !m.d.Slots().IsResident(act.Adapter) || act.Adapter != m.adapters[act.Handle] {
				t.Fatalf("request %d for %s starts on %s", act.Handle, m.adapters[act.Handle], act.Adapter)
			}
			m.running[act.Handle] = act.Adapter
		case dispatch.ActRefuse:
			m.recordEnd(t, act.Handle, "refused")
		case dispatch.ActRequestPermit:
			if m.permitRequested || len(m.loading) > 0 {
				t.Fatal("a second load at once")
			}
			m.permitRequested = true
		case dispatch.ActLoad:
			m.loading = append(m.loading, act)
		case dispatch.ActUnload:
			for h, adapter := range m.running {
				if adapter.String() == act.Name {
					t.Fatalf("unloads %s under request %d", act.Name, h)
				}
			}
			m.unloading = append(m.unloading, act)
		}
	}
}

func (m *dispatchModel) recordEnd(t *rapid.T, handle uint64, outcome string) {
	if before := m.ended[handle]; before != "" {
		t.Fatalf("request %d was %s and is %s", handle, before, outcome)
	}
	m.ended[handle] = outcome
}
