package scheduler

import "github.com/junctionfold/junctionfold/coord"

// ModelSize is the memory that a base model and each of its adapters take up at an engine, in MB; 0:
// unknown.
type ModelSize struct {
	WeightsMB, AdapterMB float64
}

// setModelSizes adds the sizes of a configuration. Engines may still hold what an earlier one had, whose
// sizes stay known; of two sizes of a model the larger one counts.
func (s *Scheduler) setModelSizes(sizes map[string]ModelSize) {
	for model, size := range sizes {
		known := s.modelSizes[model]
		s.modelSizes[model] = ModelSize{WeightsMB: max(known.WeightsMB, size.WeightsMB), AdapterMB: max(known.AdapterMB, size.AdapterMB)}
	}
}

// KnowsSize reports whether the sizes of a base model and of its adapters are known.
func (s *Scheduler) KnowsSize(model string) bool {
	size := s.modelSizes[model]
	return size.WeightsMB > 0 && size.AdapterMB > 0
}

// sizeOf returns the memory that an adapter or a base model takes up, in MB; 0: unknown.
func (s *Scheduler) sizeOf(ref coord.AdapterRef) float64 {
	size := s.modelSizes[ref.Model]
	if ref.IsBase() {
		return size.WeightsMB
	}
	return size.AdapterMB
}

// fits reports whether t can be ordered to load an adapter or a base model beside all that it holds, loads
// or has yet to unload. An engine crashes if it is ordered to load more than its memory or its adapter slots
// hold. What is of unknown size has to be alone.
func (s *Scheduler) fits(t *target, ref coord.AdapterRef) bool {
	if !ref.IsBase() && len(t.slots) >= s.cfg.AdapterSlots {
		return false
	}
	if s.cfg.MemoryMB <= 0 {
		return true
	}
	return s.fitsBeside(s.adapterUse(t), t, ref)
}

// adapterUse returns the memory that the adapters of t take up. Most have the same base model.
func (s *Scheduler) adapterUse(t *target) (use memoryUse) {
	model, size := "", 0.0
	for _, h := range t.held {
		if h.ref.Model != model {
			model, size = h.ref.Model, s.sizeOf(h.ref)
		}
		use.add(size)
	}
	return use
}

// fitsWithoutAdapters reports whether t could be ordered to load an adapter if it held no other one.
func (s *Scheduler) fitsWithoutAdapters(t *target, ref coord.AdapterRef) bool {
	return s.cfg.MemoryMB <= 0 || s.fitsBeside(memoryUse{}, t, ref)
}

// fitsBeside reports whether the memory of t holds ref, its base models and what use counts already.
func (s *Scheduler) fitsBeside(use memoryUse, t *target, ref coord.AdapterRef) bool {
	for model := range t.models {
		use.add(s.sizeOf(coord.AdapterRef{Model: model}))
	}
	if !t.modelLoadDue.IsZero() && !t.models[t.lastOrderedModel] {
		use.add(s.sizeOf(coord.AdapterRef{Model: t.lastOrderedModel}))
	}
	use.add(s.sizeOf(ref))
	return use.items == 1 && use.unknown || !use.unknown && use.sumMB <= s.cfg.MemoryMB
}

// memoryUse sums up the sizes of what an engine holds.
type memoryUse struct {
	items int
	sumMB float64
	// unknown reports that the size of an item is not known.
	unknown bool
}

func (u *memoryUse) add(sizeMB float64) {
	u.items++
	u.sumMB += sizeMB
	u.unknown = u.unknown || sizeMB <= 0
}
