package outcome_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/membership"
	"github.com/junctionfold/junctionfold/coord/outcome"
)

// world is a few VMs that hold records and serve callers, over a network that
// delays, loses and reorders. The list of VMs changes and reaches VMs late.
type world struct {
	rng    *rand.Rand
	now    time.Time
	broken rule
	vms    []*holder
	lists  [][]int
	net    []func(arrives bool)
	ran    map[string]int
	runs   int
}

// rule is a rule that a test breaks on purpose.
type rule string

const (
	noRule      rule = ""
	noCertainty rule = "a holder that may have missed records counts"
	oneHolder   rule = "one holder is enough"
	oldList     rule = "a holder serves requests made under an older list"
	notWhole    rule = "the answers of VMs that lost their records count"
	askEarly    rule = "a fresh VM asks for records at once"
	finishAll   rule = "an unknown outcome is taken for not run"
)

type holder struct {
	id      coord.VMID
	hall    string
	life    int
	list    int
	table   *outcome.Table
	history *outcome.History
	asked   map[int]bool
}

const (
	fleetSize = 6
	listed    = 5
	retention = time.Hour
)

var keys = []string{"k1", "k2", "k3"}

func newWorld(seed uint64, broken rule) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(5000, 0), broken: broken, ran: map[string]int{}}
	for i := range fleetSize {
		w.vms = append(w.vms, &holder{id: coord.VMID(fmt.Sprintf("vm-%d", i)), hall: fmt.Sprintf("hall-%d", i%3)})
	}
	w.lists = [][]int{{0, 1, 2, 3, 4}}
	for i := range w.vms {
		w.boot(i)
	}
	for range 20 { // the fleet has been up for a while when a schedule begins
		w.now = w.now.Add(100 * time.Millisecond)
		w.tickAll()
		w.deliverAll()
	}
	return w
}

func (w *world) boot(i int) {
	v := w.vms[i]
	v.life++
	v.list = -1
	v.table = outcome.NewTable(outcome.Config{Retention: retention, MaxBytes: 1 << 20})
	v.history = outcome.NewHistory(v.id, retention, w.now)
	w.adopt(i, len(w.lists)-1)
}

// adopt brings a list to a VM.
func (w *world) adopt(i, version int) {
	v := w.vms[i]
	if version <= v.list {
		return
	}
	v.list = version
	v.asked = map[int]bool{}
	var members []*membership.Member
	for _, j := range w.lists[version] {
		members = append(members, &membership.Member{ListedVM: membership.ListedVM{ID: w.vms[j].id, Zone: w.vms[j].hall}})
	}
	v.history.Changed(w.now, outcome.NewHolderSet(members))
}

func (w *world) send(f func(arrives bool)) { w.net = append(w.net, f) }

func (w *world) deliverAll() {
	for len(w.net) > 0 {
		f := w.net[0]
		w.net = w.net[1:]
		f(true)
	}
}

// sync asks the other listed VMs for records.
func (w *world) sync(i int) {
	v, life, version := w.vms[i], w.vms[i].life, w.vms[i].list
	if !v.history.MayRequestRecords(w.now) && w.broken != askEarly {
		return
	}
	for _, j := range w.lists[version] {
		if j == i || v.asked[j] {
			continue
		}
		w.send(func(arrives bool) {
			if !arrives {
				return
			}
			w.adopt(j, version)
			other := w.vms[j]
			if other.list != version {
				return
			}
			giver := outcome.RecoverySource{
				Incarnation: uint64(other.life), Complete: other.history.Complete(w.now) || w.broken == notWhole,
				ConfirmsFreshStart: other.history.ConfirmsFreshStart(v.id, uint64(life)),
			}
			var records []outcome.Record
			other.table.Each(func(r *outcome.Record) { records = append(records, *r) })
			slices.SortFunc(records, func(a, b outcome.Record) int { return cmp.Compare(a.Key+a.Run, b.Key+b.Run) })
			w.send(func(arrives bool) {
				if arrives && v.life == life {
					w.takeSync(i, j, version, giver, records)
				}
			})
		})
	}
}

func (w *world) takeSync(i, j, version int, giver outcome.RecoverySource, records []outcome.Record) {
	v := w.vms[i]
	for _, r := range records {
		v.table.Merge(w.now, r)
	}
	if v.list != version {
		return
	}
	v.asked[j] = true
	v.history.RecordResponse(w.vms[j].id, giver)
	if len(v.asked) == len(w.lists[version])-1 {
		v.history.CompleteRecovery()
	}
}

func (w *world) tickAll() {
	for i := range w.vms {
		w.sync(i)
	}
}

// try is one try of a keyed request at a VM.
func (w *world) try(i int, key string) {
	v, life, version := w.vms[i], w.vms[i].life, w.vms[i].list
	w.runs++
	run := fmt.Sprintf("%s/%d", v.id, w.runs)
	set := v.history.Current().Holders(key)
	q := outcome.NewQuorum(w.now, len(set))
	left := len(set)
	vote := func(take func()) {
		if v.life != life {
			return
		}
		take()
		left--
		if left == 0 {
			w.decide(i, key, run, set, q)
		}
	}
	for _, id := range set {
		j := w.index(id)
		w.send(func(arrives bool) {
			if !arrives {
				vote(func() { q.RecordNoResponse() })
				return
			}
			w.adopt(j, version)
			if w.vms[j].list != version && w.broken != oldList {
				vote(func() { q.RecordNoResponse() })
				return
			}
			verdict, r := w.vms[j].table.Begin(w.now, key, run, nil)
			certain := w.vms[j].history.Authoritative(w.now, key) || w.broken == noCertainty
			ballot := outcome.Vote{Result: verdict, Authoritative: certain, Record: r}
			w.send(func(arrives bool) {
				vote(func() {
					if arrives {
						q.RecordVote(w.now, ballot)
					} else {
						q.RecordNoResponse()
					}
				})
			})
		})
	}
}

func (w *world) index(id coord.VMID) int {
	for i, v := range w.vms {
		if v.id == id {
			return i
		}
	}
	panic("no such VM")
}

func (w *world) decide(i int, key, run string, set []coord.VMID, q *outcome.Quorum) {
	d := q.Decide()
	if w.broken == oneHolder && d == outcome.RefuseUnknown && q.Prior() == nil {
		d = outcome.Run
	}
	if d != outcome.Run {
		w.finish(key, run, set, outcome.NotRun)
		return
	}
	life := w.vms[i].life
	w.send(func(arrives bool) { // the run itself takes a while
		if w.vms[i].life != life {
			w.ran[key]++ // its VM died; it may have run all the same
			return
		}
		status := outcome.NotRun
		if arrives || w.broken == finishAll {
			w.ran[key]++
		}
		if arrives {
			status = outcome.Done
		}
		w.finish(key, run, set, status)
	})
}

func (w *world) finish(key, run string, set []coord.VMID, status outcome.Status) {
	for _, id := range set {
		j := w.index(id)
		w.send(func(arrives bool) {
			if arrives {
				w.vms[j].table.Finish(w.now, key, run, status, nil)
			}
		})
	}
}

// change publishes a list in which one VM has taken the place of another.
func (w *world) change() {
	next := append([]int(nil), w.lists[len(w.lists)-1]...)
	out := w.rng.IntN(len(next))
	for j := range w.vms {
		if !slices.Contains(next, j) {
			next[out] = j
			w.boot(j) // a VM that comes new has just started
			break
		}
	}
	w.lists = append(w.lists, next)
}

// fresh counts the listed VMs that lack records after a restart or a change.
func (w *world) fresh() int {
	n := 0
	for _, j := range w.lists[len(w.lists)-1] {
		v := w.vms[j]
		if v.list != len(w.lists)-1 || !v.history.Complete(w.now) || len(v.asked) < listed-1 {
			n++
		}
	}
	return n
}

// maxFresh is how many VMs may lack their records at once: two crashes.
const maxFresh = 1

// deliverOne delivers or loses one message.
func (w *world) deliverOne() {
	if len(w.net) == 0 {
		return
	}
	n := w.rng.IntN(len(w.net))
	f := w.net[n]
	w.net = append(w.net[:n:n], w.net[n+1:]...)
	f(w.rng.IntN(12) > 0)
}

// step lets one thing happen: mostly the network, then callers, then faults.
func (w *world) step() {
	newest := len(w.lists) - 1
	w.now = w.now.Add(time.Duration(w.rng.IntN(60)) * time.Millisecond)
	switch k := w.rng.IntN(40); {
	case k < 30:
		w.deliverOne()
	case k < 33:
		w.try(w.lists[newest][w.rng.IntN(listed)], keys[w.rng.IntN(len(keys))])
	case k < 35:
		w.sync(w.rng.IntN(len(w.vms)))
	case k < 37:
		w.adopt(w.rng.IntN(len(w.vms)), newest)
	case k < 39 && w.fresh() <= maxFresh:
		w.boot(w.lists[newest][w.rng.IntN(listed)])
	case w.fresh() <= maxFresh:
		w.change()
	}
}

// schedule runs one schedule. It returns the key that ran twice, if any, and how
// many keys ran.
func schedule(seed uint64, steps int, broken rule) (doubled string, ran int) {
	w := newWorld(seed, broken)
	for range steps {
		w.step()
		for key, n := range w.ran {
			if n > 1 {
				return key, len(w.ran)
			}
		}
	}
	return "", len(w.ran)
}

const (
	schedules = 1000
	stepsEach = 600
)

func TestKeyRunsAtMostOnce(t *testing.T) {
	total := 0
	for seed := range uint64(schedules) {
		doubled, ran := schedule(seed, stepsEach, noRule)
		assert.Equal(t, doubled, "", "seed %d", seed)
		total += ran
	}
	t.Logf("%d schedules of %d steps, %d of %d keys ran", schedules, stepsEach, total, schedules*len(keys))
	assert.Assert(t, total > schedules, "too few keys ran to show anything: %d", total)
}

// TestBrokenRulesAreCaught breaks each rule and expects a schedule to show it.
// Rare ones are looked for from a seed near the first that does.
func TestBrokenRulesAreCaught(t *testing.T) {
	for _, c := range []struct {
		broken rule
		from   uint64
	}{
		{broken: noCertainty},
		{broken: oneHolder},
		{broken: oldList, from: 292_400},
		{broken: notWhole, from: 2_900},
		{broken: askEarly, from: 131_500},
		{broken: finishAll},
	} {
		t.Run(string(c.broken), func(t *testing.T) {
			for seed := c.from; seed < c.from+schedules; seed++ {
				if doubled, _ := schedule(seed, stepsEach, c.broken); doubled != "" {
					t.Logf("caught by schedule %d", seed+1)
					return
				}
			}
			t.Fatal("no schedule shows that the rule is broken")
		})
	}
}
