package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
)

// sizedConfig returns the settings of engines of 1,000 MB that may hold the models m (400 MB, adapters of
// 30 MB), n (400 MB, adapters of 70 MB) and big (1,200 MB).
func sizedConfig() Config {
	cfg := config(12)
	cfg.MemoryMB = 1000
	cfg.ModelSizes = map[string]ModelSize{"m": {400, 30}, "n": {400, 70}, "big": {1200, 30}}
	cfg.ModelLoadTime = map[string]time.Duration{"m": time.Second, "n": time.Second, "big": time.Second}
	return cfg
}

// newSizedHarness returns a harness with one target that holds the given items.
func newSizedHarness(t *testing.T, cfg Config, items ...coord.AdapterRef) *harness {
	h := newHarness(t, cfg)
	listed := []AnnouncedTarget{{ID: "t0", Ready: true}}
	for _, r := range items {
		listed[0].Resident = append(listed[0].Resident, ResidentItem{Ref: r})
	}
	h.collect(h.s.SetTargets(h.now, listed))
	h.sendReports(listed)
	h.advance(minResidency)
	h.drain()
	return h
}

// adapters returns the adapters 0 to n-1 of a model.
func adapters(model string, n int) (refs []coord.AdapterRef) {
	for i := range n {
		refs = append(refs, coord.AdapterRef{Model: model, Adapter: fmt.Sprint("held", i)})
	}
	return refs
}

func modelRef(model string) coord.AdapterRef { return coord.AdapterRef{Model: model} }

// TestEngineIsNotOrderedBeyondItsMemory checks the next order for a new adapter at engines that hold several base models
// and adapters of several sizes. Engines crash that are ordered to load more than their memory holds.
func TestEngineIsNotOrderedBeyondItsMemory(t *testing.T) {
	m, n, x := modelRef("m"), modelRef("n"), modelRef("x")
	for _, row := range []struct {
		name  string
		items []coord.AdapterRef
		load  coord.AdapterRef
		want  []ActionKind
	}{
		{"one model", append(adapters("m", 5), m), coord.AdapterRef{Model: "m", Adapter: "new"}, []ActionKind{ActLoad}},
		{"room for one more beside two models", append(adapters("m", 5), m, n), coord.AdapterRef{Model: "m", Adapter: "new"}, []ActionKind{ActLoad}},
		{"two models, full", append(adapters("m", 6), m, n), coord.AdapterRef{Model: "m", Adapter: "new"}, []ActionKind{ActUnload}},
		{"a larger adapter does not fit", append(adapters("m", 5), m, n), coord.AdapterRef{Model: "n", Adapter: "new"}, []ActionKind{ActUnload}},
		{"larger adapters, full", append(adapters("n", 2), m, n), coord.AdapterRef{Model: "n", Adapter: "new"}, []ActionKind{ActUnload}},
		{"all slots are occupied", append(adapters("m", 12), m), coord.AdapterRef{Model: "m", Adapter: "new"}, []ActionKind{ActUnload}},
		{"a held model of unknown size", append(adapters("m", 1), m, x), coord.AdapterRef{Model: "m", Adapter: "new"}, nil},
		{"an adapter of unknown size", []coord.AdapterRef{x}, coord.AdapterRef{Model: "x", Adapter: "new"}, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := newSizedHarness(t, sizedConfig(), row.items...)
			h.collect(h.s.Submit(h.now, Request{
				Key: Key{VM: "vm", Ticket: 1}, Ref: row.load, PromptTokens: 100, OutputTokens: 10,
				Objective: 800 * time.Millisecond, Deadline: h.now.Add(15 * time.Second),
			}))
			h.expectActions(row.want...)
		})
	}
}

// TestModelThatDoesNotFitIsNotOrdered guards against an empty engine that is ordered to load a base model which is
// larger than its memory, and against one that gets none because the rarest one is too large.
func TestModelThatDoesNotFitIsNotOrdered(t *testing.T) {
	h := newHarness(t, sizedConfig())
	h.collect(h.s.SetTargets(h.now, []AnnouncedTarget{
		{ID: "t0", Ready: true}, {ID: "t1", Ready: true, Resident: []ResidentItem{{Ref: modelRef("m")}, {Ref: modelRef("n")}}},
	}))
	for range 20 {
		h.advance(300 * time.Millisecond)
		for _, a := range h.drain() {
			if a.Kind == ActReadReport && a.Target == "t0" {
				h.sendReport("t0", Report{})
			}
			if a.Kind == ActLoad {
				assert.Assert(t, a.Ref.Model != "big")
				return
			}
		}
	}
	t.Fatal("no model was ordered")
}

// TestSizeOfDroppedModelStaysKnown guards against engines that get no adapters, or too many, because the
// configuration no longer has a model that they hold or gives it another size.
func TestSizeOfDroppedModelStaysKnown(t *testing.T) {
	cfg := sizedConfig()
	h := newSizedHarness(t, cfg, append(adapters("m", 6), modelRef("m"), modelRef("n"))...)
	cfg.ModelSizes = map[string]ModelSize{"m": {100, 10}}
	h.s.Configure(cfg)
	h.submit("new")
	h.expectActions(ActUnload)
}

// TestMemoryIsNeverExceeded submits requests for adapters of two models at random, with late answers, and sums up what
// the engine was ordered to hold.
func TestMemoryIsNeverExceeded(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 11))
		cfg := sizedConfig()
		h := newSizedHarness(t, cfg, modelRef("m"), modelRef("n"))
		held := map[coord.AdapterRef]bool{}
		orders := uint64(0)
		loads := 0
		for ticket := range uint64(1500) {
			if rng.IntN(3) == 0 {
				h.collect(h.s.Submit(h.now, Request{
					Key: Key{VM: "vm", Ticket: ticket}, Ref: coord.AdapterRef{Model: []string{"m", "n"}[rng.IntN(2)], Adapter: fmt.Sprint("a", rng.IntN(8))},
					PromptTokens: 100, OutputTokens: 10, Objective: 800 * time.Millisecond, Deadline: h.now.Add(3 * time.Second),
				}))
			}
			h.advance(20 * time.Millisecond)
			for _, a := range h.drain() {
				switch a.Kind {
				case ActGrant:
					h.collect(h.s.Done(h.now, a.Key, EndedOK))
				case ActReadReport:
					h.sendReport("t0", heldReport(held, orders))
				case ActLoad:
					orders++
					loads++
					held[a.Ref] = true
					assert.Assert(t, heldMB(cfg, held) <= cfg.MemoryMB, "seed %d, order %d", seed, orders)
					h.answerOrder(a, []OrderResult{OrderAccepted, OrderAccepted, OrderUnknown}[rng.IntN(3)])
				case ActUnload:
					orders++
					delete(held, a.Ref)
					h.answerOrder(a, OrderAlreadyApplied)
				}
			}
		}
		assert.Assert(t, loads > 20, "seed %d: %d loads", seed, loads)
	}
}

func heldReport(held map[coord.AdapterRef]bool, orders uint64) Report {
	r := Report{Resident: []ResidentItem{{Ref: modelRef("m")}, {Ref: modelRef("n")}}, OrderCount: orders}
	for ref := range held {
		r.Resident = append(r.Resident, ResidentItem{Ref: ref})
	}
	return r
}

// heldMB returns the memory of the models m and n and of the held adapters.
func heldMB(cfg Config, held map[coord.AdapterRef]bool) float64 {
	sum := cfg.ModelSizes["m"].WeightsMB + cfg.ModelSizes["n"].WeightsMB
	for ref := range held {
		sum += cfg.ModelSizes[ref.Model].AdapterMB
	}
	return sum
}
