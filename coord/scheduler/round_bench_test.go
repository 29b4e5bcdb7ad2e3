package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// The state for which a round has to take less than 1 ms.
const (
	lineEngines  = 90
	lineSlots    = 11
	lineWaiting  = 400
	lineAdapters = 150
	lineRunning  = 300
)

// newLongLine returns a scheduler with occupied adapter slots and a line of requests for adapters that
// no engine holds. loading adapters are in transit at each engine.
func newLongLine(loading int) (*Scheduler, time.Time) {
	s := New(Config{
		AdapterSlots: lineSlots, MemoryMB: 67_000, ModelSizes: map[string]ModelSize{"m": {65_100, 12}}, Batch: 16, CacheTokens: 85_000, MaxLoads: 64,
		ModelLoadTime: map[string]time.Duration{"m": time.Second},
	})
	var listed []AnnouncedTarget
	for i := range lineEngines {
		l := AnnouncedTarget{ID: fmt.Sprintf("t%d", i), Ready: true, Resident: []ResidentItem{{Ref: base}}}
		for j := range lineSlots {
			l.Resident = append(l.Resident, ResidentItem{Ref: ref(fmt.Sprintf("held%d", i*lineSlots+j))})
		}
		listed = append(listed, l)
	}
	s.SetTargets(start, listed)
	s.SetLeading(start, true, nil)
	for _, t := range s.targets {
		t.reconciled, t.fenced = true, true
		for j := range loading {
			t.slots[listedRef(listed, t.id, j)].state = loadingOrUnloading(j)
		}
	}
	now := start.Add(2 * time.Second)
	for i := range lineRunning {
		s.Submit(now, lineRequest(now, i, fmt.Sprintf("held%d", i*3)))
	}
	for i := range lineWaiting {
		s.Submit(now, lineRequest(now, lineRunning+i, fmt.Sprintf("wanted%d", i*i%lineAdapters)))
	}
	s.fencingToken = 1
	return s, now
}

func listedRef(listed []AnnouncedTarget, id string, slot int) coord.AdapterRef {
	for _, l := range listed {
		if l.ID == id {
			return l.Resident[1+slot].Ref
		}
	}
	return base
}

func loadingOrUnloading(i int) slotState { return []slotState{loading, unloading}[i%2] }

func lineRequest(now time.Time, i int, adapter string) Request {
	return Request{
		Key: Key{VM: "vm", Ticket: uint64(i)}, Ref: ref(adapter), PromptTokens: 300 + i, OutputTokens: 100, Priority: i % 3,
		Parts:     []coord.PromptPart{{ID: "system", Tokens: 100}, {ID: adapter, Tokens: 100}},
		Objective: 800 * time.Millisecond, Deadline: now.Add(15 * time.Second),
	}
}

// BenchmarkRoundWithLongLine measures one round over hundreds of waiting requests. Decisions on
// other requests wait for it.
func BenchmarkRoundWithLongLine(b *testing.B) {
	b.Run("engines in transit", func(b *testing.B) {
		s, now := newLongLine(maxInTransit)
		b.ReportAllocs()
		for b.Loop() {
			s.runRound(now)
		}
		b.ReportMetric(float64(len(s.waiting)), "waiting")
	})
	b.Run("loads at limit", func(b *testing.B) {
		s, now := newLongLine(0)
		s.storeLoads = s.loadLimit.Max()
		b.ReportAllocs()
		for b.Loop() {
			s.runRound(now)
		}
		b.ReportMetric(float64(len(s.waiting)), "waiting")
	})
	b.Run("no line", func(b *testing.B) {
		s, now := newLongLine(0)
		s.waiting = nil
		var versions []ResidentItem
		for r := range s.replicas {
			versions = append(versions, ResidentItem{Ref: r, Version: 1})
		}
		s.SetVersions(now, versions)
		b.ReportAllocs()
		for b.Loop() {
			s.runRound(now)
		}
	})
	b.Run("loads begin", func(b *testing.B) {
		b.ReportAllocs()
		orders := 0
		for range b.N {
			b.StopTimer()
			s, now := newLongLine(0)
			runtime.GC() // its garbage is not the round's
			b.StartTimer()
			orders += len(s.runRound(now))
		}
		b.ReportMetric(float64(orders)/float64(b.N), "orders/op")
	})
}
