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

// simulation is a fleet of VMs that hold records and serve callers over a network that delays,
// loses and reorders messages. The list of VMs changes, and VMs receive changes late.
type simulation struct {
	rng       *rand.Rand
	now       time.Time
	broken    brokenRule
	vms       []*simulatedVM
	lists     [][]int
	messages  []func(delivered bool)
	runCounts map[string]int
	attempts  int
}

// brokenRule is a rule of the protocol that a test breaks on purpose.
type brokenRule string

const (
	noBrokenRule          brokenRule = ""
	countNonAuthoritative brokenRule = "a holder that may have missed records counts"
	acceptOneVote         brokenRule = "one holder is enough"
	acceptOldList         brokenRule = "a holder serves requests made under an older list"
	countIncomplete       brokenRule = "responses of VMs that lost their records count"
	requestRecordsEarly   brokenRule = "a restarted VM requests records at once"
	finishUnknownAsNotRun brokenRule = "an unknown outcome counts as not run"
)

type simulatedVM struct {
	id          coord.VMID
	zone        string
	incarnation int
	listVersion int
	table       *outcome.Table
	history     *outcome.History
	recordsFrom map[int]bool
}

const (
	fleetSize = 6
	listedVMs = 5
	retention = time.Hour
)

var keys = []string{"k1", "k2", "k3"}

func newSimulation(seed uint64, broken brokenRule) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(5000, 0), broken: broken, runCounts: map[string]int{}}
	for i := range fleetSize {
		s.vms = append(s.vms, &simulatedVM{id: coord.VMID(fmt.Sprintf("vm-%d", i)), zone: fmt.Sprintf("hall-%d", i%3)})
	}
	s.lists = [][]int{{0, 1, 2, 3, 4}}
	for i := range s.vms {
		s.boot(i)
	}
	for range 20 { // schedules begin with a fleet that has been running for a while
		s.now = s.now.Add(100 * time.Millisecond)
		s.requestRecordsEverywhere()
		s.deliverAll()
	}
	return s
}

func (s *simulation) boot(i int) {
	v := s.vms[i]
	v.incarnation++
	v.listVersion = -1
	v.table = outcome.NewTable(outcome.Config{Retention: retention, MaxBytes: 1 << 20})
	v.history = outcome.NewHistory(v.id, retention, s.now)
	s.applyList(i, len(s.lists)-1)
}

// applyList applies a version of the list at a VM.
func (s *simulation) applyList(i, version int) {
	v := s.vms[i]
	if version <= v.listVersion {
		return
	}
	v.listVersion = version
	v.recordsFrom = map[int]bool{}
	var members []*membership.Member
	for _, j := range s.lists[version] {
		members = append(members, &membership.Member{ListedVM: membership.ListedVM{ID: s.vms[j].id, Zone: s.vms[j].zone}})
	}
	v.history.Changed(s.now, outcome.NewHolderSet(members))
}

func (s *simulation) send(deliver func(delivered bool)) { s.messages = append(s.messages, deliver) }

func (s *simulation) deliverAll() {
	for len(s.messages) > 0 {
		deliver := s.messages[0]
		s.messages = s.messages[1:]
		deliver(true)
	}
}

// requestRecords requests records from the other listed VMs.
func (s *simulation) requestRecords(i int) {
	v, incarnation, version := s.vms[i], s.vms[i].incarnation, s.vms[i].listVersion
	if !v.history.MayRequestRecords(s.now) && s.broken != requestRecordsEarly {
		return
	}
	for _, j := range s.lists[version] {
		if j == i || v.recordsFrom[j] {
			continue
		}
		s.send(func(delivered bool) {
			if !delivered {
				return
			}
			s.applyList(j, version)
			other := s.vms[j]
			if other.listVersion != version {
				return
			}
			source := outcome.RecoverySource{
				Incarnation: uint64(other.incarnation), Complete: other.history.Complete(s.now) || s.broken == countIncomplete,
				ConfirmsFreshStart: other.history.ConfirmsFreshStart(v.id, uint64(incarnation)),
			}
			var records []outcome.Record
			other.table.Each(func(r *outcome.Record) { records = append(records, *r) })
			slices.SortFunc(records, func(a, b outcome.Record) int { return cmp.Compare(a.Key+a.Run, b.Key+b.Run) })
			s.send(func(delivered bool) {
				if delivered && v.incarnation == incarnation {
					s.applyRecords(i, j, version, source, records)
				}
			})
		})
	}
}

func (s *simulation) applyRecords(i, j, version int, source outcome.RecoverySource, records []outcome.Record) {
	v := s.vms[i]
	for _, r := range records {
		v.table.Merge(s.now, r)
	}
	if v.listVersion != version {
		return
	}
	v.recordsFrom[j] = true
	v.history.RecordResponse(s.vms[j].id, source)
	if len(v.recordsFrom) == len(s.lists[version])-1 {
		v.history.CompleteRecovery()
	}
}

func (s *simulation) requestRecordsEverywhere() {
	for i := range s.vms {
		s.requestRecords(i)
	}
}

// attempt runs one attempt of a keyed request at a VM.
func (s *simulation) attempt(i int, key string) {
	v, incarnation, version := s.vms[i], s.vms[i].incarnation, s.vms[i].listVersion
	s.attempts++
	run := fmt.Sprintf("%s/%d", v.id, s.attempts)
	holders := v.history.Current().Holders(key)
	q := outcome.NewQuorum(s.now, len(holders))
	remaining := len(holders)
	countVote := func(record func()) {
		if v.incarnation != incarnation {
			return
		}
		record()
		remaining--
		if remaining == 0 {
			s.decide(i, key, run, holders, q)
		}
	}
	for _, id := range holders {
		j := s.vmIndex(id)
		s.send(func(delivered bool) {
			if !delivered {
				countVote(func() { q.RecordNoResponse() })
				return
			}
			s.applyList(j, version)
			if s.vms[j].listVersion != version && s.broken != acceptOldList {
				countVote(func() { q.RecordNoResponse() })
				return
			}
			result, r := s.vms[j].table.Begin(s.now, key, run, nil)
			authoritative := s.vms[j].history.Authoritative(s.now, key) || s.broken == countNonAuthoritative
			vote := outcome.Vote{Result: result, Authoritative: authoritative, Record: r}
			s.send(func(delivered bool) {
				countVote(func() {
					if delivered {
						q.RecordVote(s.now, vote)
					} else {
						q.RecordNoResponse()
					}
				})
			})
		})
	}
}

func (s *simulation) vmIndex(id coord.VMID) int {
	for i, v := range s.vms {
		if v.id == id {
			return i
		}
	}
	panic("unknown VM ID")
}

func (s *simulation) decide(i int, key, run string, holders []coord.VMID, q *outcome.Quorum) {
	d := q.Decide()
	if s.broken == acceptOneVote && d == outcome.RefuseUnknown && q.Prior() == nil {
		d = outcome.Run
	}
	if d != outcome.Run {
		s.finish(key, run, holders, outcome.NotRun)
		return
	}
	incarnation := s.vms[i].incarnation
	s.send(func(delivered bool) { // the run itself takes time
		if s.vms[i].incarnation != incarnation {
			s.runCounts[key]++ // the VM crashed; the run may have happened
			return
		}
		status := outcome.NotRun
		if delivered || s.broken == finishUnknownAsNotRun {
			s.runCounts[key]++
		}
		if delivered {
			status = outcome.Done
		}
		s.finish(key, run, holders, status)
	})
}

func (s *simulation) finish(key, run string, holders []coord.VMID, status outcome.Status) {
	for _, id := range holders {
		j := s.vmIndex(id)
		s.send(func(delivered bool) {
			if delivered {
				s.vms[j].table.Finish(s.now, key, run, status, nil)
			}
		})
	}
}

// changeList publishes a list in which an unlisted VM replaces a listed one.
func (s *simulation) changeList() {
	next := append([]int(nil), s.lists[len(s.lists)-1]...)
	replaced := s.rng.IntN(len(next))
	for j := range s.vms {
		if !slices.Contains(next, j) {
			next[replaced] = j
			s.boot(j) // a newly listed VM has just started
			break
		}
	}
	s.lists = append(s.lists, next)
}

// countIncompleteVMs counts the listed VMs that lack records after a restart or a change of the
// list.
func (s *simulation) countIncompleteVMs() int {
	n := 0
	for _, j := range s.lists[len(s.lists)-1] {
		v := s.vms[j]
		if v.listVersion != len(s.lists)-1 || !v.history.Complete(s.now) || len(v.recordsFrom) < listedVMs-1 {
			n++
		}
	}
	return n
}

// maxIncompleteBeforeFault is the number of incomplete VMs up to which another one may be restarted
// or replaced, so that at most two lack their records at once.
const maxIncompleteBeforeFault = 1

// deliverOne delivers or loses one message.
func (s *simulation) deliverOne() {
	if len(s.messages) == 0 {
		return
	}
	n := s.rng.IntN(len(s.messages))
	deliver := s.messages[n]
	s.messages = append(s.messages[:n:n], s.messages[n+1:]...)
	deliver(s.rng.IntN(12) > 0)
}

// step simulates one event: most often of the network, less often of a caller, rarely a fault.
func (s *simulation) step() {
	newest := len(s.lists) - 1
	s.now = s.now.Add(time.Duration(s.rng.IntN(60)) * time.Millisecond)
	switch event := s.rng.IntN(40); {
	case event < 30:
		s.deliverOne()
	case event < 33:
		s.attempt(s.lists[newest][s.rng.IntN(listedVMs)], keys[s.rng.IntN(len(keys))])
	case event < 35:
		s.requestRecords(s.rng.IntN(len(s.vms)))
	case event < 37:
		s.applyList(s.rng.IntN(len(s.vms)), newest)
	case event < 39 && s.countIncompleteVMs() <= maxIncompleteBeforeFault:
		s.boot(s.lists[newest][s.rng.IntN(listedVMs)])
	case s.countIncompleteVMs() <= maxIncompleteBeforeFault:
		s.changeList()
	}
}

// runSchedule runs one schedule. It returns the key that ran twice, if any, and the number of keys
// that ran.
func runSchedule(seed uint64, steps int, broken brokenRule) (doubled string, ran int) {
	s := newSimulation(seed, broken)
	for range steps {
		s.step()
		for key, n := range s.runCounts {
			if n > 1 {
				return key, len(s.runCounts)
			}
		}
	}
	return "", len(s.runCounts)
}

const (
	scheduleCount    = 1000
	stepsPerSchedule = 600
)

func TestKeyRunsAtMostOnce(t *testing.T) {
	total := 0
	for seed := range uint64(scheduleCount) {
		doubled, ran := runSchedule(seed, stepsPerSchedule, noBrokenRule)
		assert.Equal(t, doubled, "", "seed %d", seed)
		total += ran
	}
	t.Logf("%d schedules of %d steps, %d of %d keys ran", scheduleCount, stepsPerSchedule, total, scheduleCount*len(keys))
	assert.Assert(t, total > scheduleCount, "too few keys ran for the test to be meaningful: %d", total)
}

// TestBrokenRulesAreCaught breaks one rule at a time and expects that some schedule runs a key
// twice. For rules whose violation rarely shows, the search starts at a seed shortly before the
// first schedule that shows it.
func TestBrokenRulesAreCaught(t *testing.T) {
	for _, c := range []struct {
		broken brokenRule
		from   uint64
	}{
		{broken: countNonAuthoritative},
		{broken: acceptOneVote},
		{broken: acceptOldList, from: 292_400},
		{broken: countIncomplete, from: 2_900},
		{broken: requestRecordsEarly, from: 131_500},
		{broken: finishUnknownAsNotRun},
	} {
		t.Run(string(c.broken), func(t *testing.T) {
			for seed := c.from; seed < c.from+scheduleCount; seed++ {
				if doubled, _ := runSchedule(seed, stepsPerSchedule, c.broken); doubled != "" {
					t.Logf("caught by schedule %d", seed+1)
					return
				}
			}
			t.Fatal("no schedule shows that the rule is broken")
		})
	}
}
