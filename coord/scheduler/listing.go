package scheduler

import (
	"slices"
	"time"
)

// forgetAfter is how long a target that is not listed is remembered: longer than an order or
// a request may be under way there. Entries are lost and come back; one that was forgotten with
// an order under way was ordered beyond its places on a report from before it
// (TestPromisesBesideTakeovers, seeds 57, 66, 88).
const forgetAfter = time.Minute

// SetTargets takes the announced targets. Those that are not listed get no requests and no
// orders; what is known of them stays for forgetAfter.
func (s *Scheduler) SetTargets(now time.Time, listed []AnnouncedTarget) []Action {
	seen := make(map[string]bool, len(listed))
	for i := range listed {
		l := &listed[i]
		seen[l.ID] = true
		t := s.targets[l.ID]
		if t == nil {
			t = newTarget(l, s.homes)
			s.targets[l.ID] = t
		}
		t.listed(now, l)
	}
	for id, t := range s.targets {
		if !seen[id] {
			s.unlisted(now, t)
		}
	}
	s.ids = s.ids[:0]
	for id := range s.targets {
		s.ids = append(s.ids, id)
	}
	slices.Sort(s.ids)
	return s.settle(now)
}

// unlisted takes that a target is not announced any more.
func (s *Scheduler) unlisted(now time.Time, t *target) {
	if t.unlisted.IsZero() {
		t.unlisted = now
	}
	t.ready = false
	if t.replaced || now.Sub(t.unlisted) >= forgetAfter {
		s.forget(t)
	}
}

func (s *Scheduler) forget(t *target) {
	s.empty(t)
	delete(s.targets, t.id)
}

// empty drops the places of a target, and its loads.
func (s *Scheduler) empty(t *target) {
	for ref := range t.slots {
		s.free(t, ref, FreedWithTarget)
	}
}

// TargetReplaced takes the news that a target's process is gone and another one has its place,
// which will announce itself under an id of its own. Nothing is sent to the target or
// believed of it any more, also if a late listing has it.
func (s *Scheduler) TargetReplaced(now time.Time, id string) []Action {
	t := s.targets[id]
	if t == nil {
		return nil
	}
	s.empty(t)
	t.replaced = true
	t.ready = false
	return s.settle(now)
}
