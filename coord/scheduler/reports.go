package scheduler

import (
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// Report is what a target says of itself when asked. It lags by some hundred ms.
type Report struct {
	Resident []ResidentItem
	Pending  []coord.AdapterRef
	// Busy says that the target loads or unloads a base model.
	Busy bool
	// OrderCount is how many orders the target has taken since its start.
	OrderCount uint64
}

// Pauses around reports.
const (
	// reportLag is how old a report may be, with a margin: it is asked for only
	// this long after the order whose effect it must show.
	reportLag = 500 * time.Millisecond
	// readAgain is the pause after a read that failed.
	readAgain = 400 * time.Millisecond
)

// distrust makes the target's report be read before its next order.
func (t *target) distrust(now time.Time) { t.readFrom(now.Add(reportLag)) }

// readFrom makes the target's report be read at a time before its next order.
func (t *target) readFrom(at time.Time) {
	t.trusted = false
	t.readAt = at
}

func (s *Scheduler) readIfDue(now time.Time, t *target) {
	if t.readAt.IsZero() {
		t.readAt = now
	}
	if !t.reading.IsZero() || now.Before(t.readAt) {
		return
	}
	t.reading = now
	s.act(Action{Kind: ActReadReport, Target: t.id})
}

// HandleReport takes a target's report, or with ok false that it could not be read.
func (s *Scheduler) HandleReport(now time.Time, id string, r Report, ok bool) []Action {
	t := s.targets[id]
	if t == nil || t.reading.IsZero() {
		return nil
	}
	began := t.reading
	t.reading = time.Time{}
	if !ok {
		t.readAt = now.Add(readAgain)
		return s.take()
	}
	if now.Before(t.readAt) {
		return s.take() // distrusted again meanwhile
	}
	s.adopt(now, t, r, began)
	t.countOrders(began, r.OrderCount)
	if r.Busy && len(t.models) == 0 {
		// A base model is on its way, not listed yet: another one beside it has no room.
		t.readFrom(now.Add(readAgain))
		return s.take()
	}
	if s.othersMayOrder(now, t) && began.Sub(t.ordersSince) < reportLag {
		t.readFrom(t.ordersSince.Add(reportLag))
		return s.take()
	}
	t.trusted = true
	t.readAt = time.Time{}
	s.keepUp(now, t)
	return s.take()
}

// othersMayOrder reports whether another VM may order a target that has not obeyed this one
// yet. One that was there under the lease before may be ordered by its holder for as long as
// that does not know of this lease, as after a cut. A target that came later is known to
// the VMs that may order only, whose views agree after contestTime. One that has taken orders all
// the same had them under the id of its earlier process, at the same address: what they load may
// not show yet (an engine with four places was ordered to load a fifth adapter).
func (s *Scheduler) othersMayOrder(now time.Time, t *target) bool {
	return !t.sealed && (t.inherited || s.contested(now) || t.orders > 0)
}

// contestTime is how long after it gained the lease this VM reckons with another one that
// gained it too: by then the fleet's views agree.
const contestTime = time.Second

// contested reports whether another VM may have gained the lease as well.
func (s *Scheduler) contested(now time.Time) bool {
	return s.mayOrder() && now.Sub(s.leaseSince) < contestTime
}

// countOrders takes the number of orders of a report whose reading began then. The rest
// of a report may lag behind the number: before the first order under a lease, reports a
// lag apart must give the same one. What another VM ordered before the earlier of them
// shows in the later, and what it ordered after that changes the number.
func (t *target) countOrders(began time.Time, orders uint64) {
	if t.ordersSince.IsZero() || orders != t.orders {
		t.orders, t.ordersSince = orders, began
	}
}

// adopt makes slots agree with a report. Loads ordered shortly before the read
// may not show in it yet.
func (s *Scheduler) adopt(now time.Time, t *target, r Report, began time.Time) {
	found := map[coord.AdapterRef]bool{}
	clear(t.models)
	t.adoptedAt = began
	for _, h := range r.Resident {
		if h.Ref.IsBase() {
			t.models[h.Ref.Model] = true
			continue
		}
		found[h.Ref] = true
		s.adoptResident(now, t, h, began)
	}
	for _, ref := range r.Pending {
		found[ref] = true
		s.adoptPending(now, t, ref, began)
	}
	for ref, sl := range t.slots {
		if found[ref] || !sl.told(began) {
			continue
		}
		s.free(t, ref, FreedByReport)
	}
}

func (s *Scheduler) adoptResident(now time.Time, t *target, h ResidentItem, began time.Time) {
	sl := t.slots[h.Ref]
	if sl == nil {
		sl = &slot{lastUse: now}
		t.put(h.Ref, sl)
	}
	if !sl.told(began) {
		return
	}
	if sl.state == loading {
		if sl.version != 0 && h.Version < sl.version {
			return // replaced when its runs have ended
		}
		s.countLoad(sl, false)
	}
	if sl.state != resident {
		sl.state, sl.since = resident, now
	}
	sl.version = h.Version
	sl.proven = true
	t.keep(now, h.Ref)
}

func (s *Scheduler) adoptPending(now time.Time, t *target, ref coord.AdapterRef, began time.Time) {
	sl := t.slots[ref]
	if sl == nil {
		sl = &slot{lastUse: now, version: s.versions[ref]}
		t.put(ref, sl)
	}
	if !sl.told(began) {
		return
	}
	if sl.state != loading {
		sl.fromStore = !t.keeps(ref)
	}
	s.countLoad(sl, true)
	sl.state, sl.since, sl.answered = loading, now, now
	sl.ordered = true
	sl.readyAt = now.Add(s.loadTime(t, ref))
	sl.begun = time.Time{}
}
