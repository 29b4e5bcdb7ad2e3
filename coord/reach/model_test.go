package reach

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// cutMode is how connections behave while the VM is cut off from all targets.
type cutMode int

const (
	hang cutMode = iota
	reset
	// refuseDials keeps existing connections alive.
	refuseDials
	// answersNothing makes and acknowledges connections, and delivers nothing.
	answersNothing
	cutModes
)

const (
	dialTimeout = 700 * time.Millisecond
	ackTimeout  = time.Second
	relayTime   = 10 * time.Millisecond
	requestGap  = 10 * time.Millisecond
	// questionTimeout is how long an answer to a question is awaited.
	questionTimeout = 500 * time.Millisecond
	idleConnChance  = 2 // in 3
)

// world simulates one VM, its targets and sound relays in virtual time.
type world struct {
	rng     *rand.Rand
	now     time.Time
	events  eventQueue
	table   *Table
	targets []string
	mode    cutMode
	isCut   bool
	down    map[string]bool
	silent  map[string]time.Time
	// heardAt is when a target last answered a request that was not relayed.
	heardAt time.Time
	waiting waiting

	isolatedFor time.Duration
	lastTick    time.Time
	// requests and unserved count the requests since count was last called.
	requests, unserved int
}

func newWorld(seed uint64, targets int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 2)), now: start, lastTick: start, table: New(seed), down: map[string]bool{}, silent: map[string]time.Time{}, waiting: waiting{}}
	for i := range targets {
		w.targets = append(w.targets, fmt.Sprintf("t%03d", i))
	}
	w.table.SetTargets(w.targets)
	w.table.SetEngines(w.targets[:(targets+1)/2])
	w.after(0, w.request)
	w.after(0, w.probe)
	w.after(0, w.checkSilence)
	return w
}

// runFor handles the events of the next d.
func (w *world) runFor(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		if w.table.Isolated() {
			w.isolatedFor += w.now.Sub(w.lastTick)
		}
		w.lastTick = w.now
		e.run()
	}
	w.now = end
}

func (w *world) after(d time.Duration, run func()) { heap.Push(&w.events, event{w.now.Add(d), run}) }

// responds returns how long a target takes to respond, and whether it ever does.
func (w *world) responds(target string) (time.Duration, bool) {
	if w.down[target] {
		return 0, false
	}
	return max(w.silent[target].Sub(w.now), 0), true
}

// request sends one request, directly or through a relay, and schedules the next.
func (w *world) request() {
	w.after(requestGap, w.request)
	w.requests++
	target := w.targets[w.rng.IntN(len(w.targets))]
	switch {
	case w.table.ViaRelay(w.now, target):
		w.relay(target)
	case w.rng.IntN(3) < idleConnChance:
		w.sendOnIdleConnection(target)
	default:
		w.dial(target, func(ok bool) {
			if ok {
				w.sendOnOpenConnection(target)
			} else {
				w.relay(target)
			}
		})
	}
}

// sendOnOpenConnection sends a request on a connection that is open.
func (w *world) sendOnOpenConnection(target string) {
	delay, up := w.responds(target)
	switch {
	case !up:
	case w.isCut && w.mode == answersNothing:
		w.unserved++
		w.waiting.add(w.now, target, answerlessTime)
	default:
		w.waiting.add(w.now, target, delay)
		w.after(delay, func() { w.hear(w.now) })
	}
}

// hear records that a target has answered.
func (w *world) hear(at time.Time) {
	w.heardAt = at
	w.table.RecordHeard(at)
}

func (w *world) checkSilence() {
	w.after(silenceInterval, w.checkSilence)
	w.waiting.record(w.now, w.heardAt, w.table)
}

// answerlessTime is how long a request waits that is never answered.
const answerlessTime = 5 * time.Second

// silenceInterval is the time between two records of silence.
const silenceInterval = 20 * time.Millisecond

// waiting holds by target when the oldest unanswered request was sent and when it ends.
type waiting map[string]struct{ sentAt, end time.Time }

func (w waiting) add(now time.Time, target string, lasts time.Duration) {
	if old := w[target]; now.Before(old.end) || lasts == 0 {
		return
	}
	w[target] = struct{ sentAt, end time.Time }{now, now.Add(lasts)}
}

// record records the silence of a VM that was last sent anything at heardAt.
func (w waiting) record(now, heardAt time.Time, t *Table) {
	if now.Sub(heardAt) < SilenceTime {
		return
	}
	for target, r := range w {
		if now.Sub(r.sentAt) >= SilenceTime && now.Before(r.end) {
			t.RecordSilence(now, target)
		}
	}
}

func (w *world) relay(target string) {
	delay, up := w.responds(target)
	w.after(relayTime+delay, func() {
		if !up {
			w.unserved++
		}
		w.table.RecordRelayed(w.now, target, up)
	})
}

func (w *world) sendOnIdleConnection(target string) {
	delay, up := w.responds(target)
	switch {
	case !up, w.isCut && w.mode == reset:
		w.after(0, func() { w.failed(target) })
	case w.isCut && w.mode == hang, delay > ackTimeout:
		w.after(ackTimeout, func() { w.failed(target) })
	default:
		w.sendOnOpenConnection(target)
	}
}

func (w *world) failed(target string) {
	w.unserved++
	w.table.RecordFailure(w.now, target)
}

// dial makes a new connection.
func (w *world) dial(target string, done func(ok bool)) {
	delay, up := w.responds(target)
	ok := up && delay < dialTimeout && (!w.isCut || w.mode == answersNothing)
	switch {
	case ok:
	case w.isCut && w.mode == hang, delay > 0:
		delay = dialTimeout
	default:
		delay = 0
	}
	w.after(delay, func() {
		w.table.RecordDial(w.now, target, ok)
		done(ok)
	})
}

func (w *world) probe() {
	target, due := w.table.NextProbe(w.now)
	if !due {
		w.after(20*time.Millisecond, w.probe)
		return
	}
	if w.table.AsksQuestions() {
		w.ask(target)
		return
	}
	w.dial(target, func(bool) { w.after(0, w.probe) })
}

// ask asks a target a question on a new connection.
func (w *world) ask(target string) {
	delay, up := w.responds(target)
	answered := up && !w.isCut && delay < questionTimeout
	if !answered {
		delay = questionTimeout
	}
	w.after(delay, func() {
		w.table.RecordQuestion(w.now, target, answered)
		if answered {
			w.hear(w.now)
		}
		w.after(0, w.probe)
	})
}

type event struct {
	at  time.Time
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// forEachWorld runs check in worlds of different sizes, once for each mode of a cut.
func forEachWorld(t *testing.T, check func(t *testing.T, w *world)) {
	for mode := range cutModes {
		for _, size := range []int{1, 2, 3, 20, 300} {
			for seed := range uint64(10) {
				t.Run(fmt.Sprintf("mode %d, %d targets, seed %d", mode, size, seed), func(t *testing.T) {
					w := newWorld(seed, size)
					w.mode = mode
					w.runFor(time.Second)
					check(t, w)
				})
			}
		}
	}
}

func TestCutVMIsIsolatedUntilItReturns(t *testing.T) {
	forEachWorld(t, func(t *testing.T, w *world) {
		w.isCut = true
		w.runFor(3 * time.Second)
		assert.Assert(t, w.table.Isolated())
		w.requests, w.unserved = 0, 0
		w.runFor(10 * time.Second)
		assert.Assert(t, w.table.Isolated())
		assert.Assert(t, 50*w.unserved <= w.requests, "%d of %d requests failed", w.unserved, w.requests)
		w.isCut = false
		w.runFor(1500 * time.Millisecond)
		assert.Assert(t, !w.table.Isolated())
		w.runFor(2 * time.Second)
		assert.Assert(t, !w.table.AnnouncesIsolation(w.now))
		assert.Equal(t, w.table.BrokenPaths(), 0)
	})
}

func TestCutVMWithTargetsDownIsIsolated(t *testing.T) {
	forEachWorld(t, func(t *testing.T, w *world) {
		if len(w.targets) < 20 {
			return
		}
		for i, id := range w.targets {
			w.down[id] = i%4 == 0
		}
		w.isCut = true
		w.runFor(3 * time.Second)
		assert.Assert(t, w.table.Isolated())
		w.isCut = false
		w.runFor(5 * time.Second)
		assert.Assert(t, !w.table.Isolated())
	})
}

// A relay may reach a target just after its silence, but another target responds all the while.
func TestSilentTargetsDoNotIsolateAVM(t *testing.T) {
	forEachWorld(t, func(t *testing.T, w *world) {
		if len(w.targets) < 3 {
			return
		}
		for range 5 {
			w.silent[w.targets[0]] = w.now.Add(1200 * time.Millisecond)
			w.silent[w.targets[1]] = w.now.Add(1200 * time.Millisecond)
			w.runFor(4 * time.Second)
		}
		assert.Equal(t, w.isolatedFor, time.Duration(0))
	})
}

func TestSilenceOfTheOnlyTargetDoesNotIsolateAVM(t *testing.T) {
	for seed := range uint64(50) {
		w := newWorld(seed, 1)
		w.runFor(time.Second)
		w.silent[w.targets[0]] = w.now.Add(1200 * time.Millisecond)
		w.runFor(4 * time.Second)
		assert.Equal(t, w.isolatedFor, time.Duration(0), "seed %d", seed)
	}
}

func TestCrashedTargetsDoNotIsolateAVM(t *testing.T) {
	forEachWorld(t, func(t *testing.T, w *world) {
		if len(w.targets) > 2 {
			w.down[w.targets[0]], w.down[w.targets[1]] = true, true
			w.runFor(10 * time.Second)
			assert.Equal(t, w.table.BrokenPaths(), 0)
		}
		for _, id := range w.targets {
			w.down[id] = true
		}
		w.runFor(10 * time.Second)
		assert.Equal(t, w.table.BrokenPaths(), 0)
		assert.Equal(t, w.isolatedFor, time.Duration(0))
	})
}

func TestFlappingPathsDoNotLeaveAVMIsolated(t *testing.T) {
	forEachWorld(t, func(t *testing.T, w *world) {
		for range 10 {
			w.isCut = !w.isCut
			w.runFor(time.Duration(200+w.rng.IntN(3000)) * time.Millisecond)
		}
		w.isCut = false
		w.runFor(3 * time.Second)
		assert.Assert(t, !w.table.Isolated())
		assert.Equal(t, w.table.BrokenPaths(), 0)
		w.isCut = true
		w.runFor(3 * time.Second)
		assert.Assert(t, w.table.Isolated())
	})
}
