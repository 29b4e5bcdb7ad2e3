package scheduler

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// playedEngine is one engine.
type playedEngine struct {
	id     string
	places map[coord.AdapterRef]bool // whether it is there already
	kept   []coord.AdapterRef        // the least lately held first
	readTo time.Time                 // until when it reads
	lost   bool
	orders uint64
}

// playedLoad is a load under way: the work that is left, at full speed.
type playedLoad struct {
	engine *playedEngine
	ref    coord.AdapterRef
	left   time.Duration
	store  bool
}

// forward lets loads go on for a ms.
func (p *player) forward() {
	n := 0
	for _, l := range p.loads {
		if l.store {
			n++
		}
	}
	speed := min(1, float64(p.d.atOnce)/float64(max(n, 1)))
	p.loads = slices.DeleteFunc(p.loads, func(l *playedLoad) bool {
		if l.engine.lost {
			return true
		}
		if l.store {
			l.left -= time.Duration(speed * float64(time.Millisecond))
		} else {
			l.left -= time.Millisecond
		}
		if l.left > 0 {
			return false
		}
		l.engine.places[l.ref] = true
		l.engine.keep(l.ref, p.d.kept)
		return true
	})
}

func (e *playedEngine) keep(ref coord.AdapterRef, most int) {
	e.kept = slices.DeleteFunc(e.kept, func(r coord.AdapterRef) bool { return r == ref })
	e.kept = append(e.kept, ref)
	if len(e.kept) > most {
		e.kept = e.kept[1:]
	}
}

func (p *player) reportOf(e *playedEngine) {
	r := Report{Resident: []ResidentItem{{Ref: base}}, OrderCount: e.orders}
	for ref, there := range e.places {
		if there {
			r.Resident = append(r.Resident, ResidentItem{Ref: ref})
		} else {
			r.Pending = append(r.Pending, ref)
		}
	}
	p.carryOut(p.s.HandleReport(p.now, e.id, r, !e.lost))
}

func (p *player) ordered(a Action, result OrderResult) {
	p.after(message, func() { p.carryOut(p.s.OrderAnswered(p.now, a.Target, a.Kind == ActUnload, a.Ref, result)) })
}

func (p *player) loadAt(a Action, e *playedEngine) {
	if e.lost {
		p.after(1500*time.Millisecond, func() { p.ordered(a, OrderUnknown) })
		return
	}
	pending := 0
	for _, there := range e.places {
		if !there {
			pending++
		}
	}
	if pending >= maxInTransit || len(e.places) >= p.d.places {
		p.out.conflicts++
		p.ordered(a, OrderRejected)
		return
	}
	e.orders++
	l := &playedLoad{engine: e, ref: a.Ref, left: p.d.load, store: !slices.Contains(e.kept, a.Ref)}
	if l.store {
		p.out.loads++
	} else {
		l.left = p.d.load / 10
	}
	e.places[a.Ref] = false
	p.loads = append(p.loads, l)
	p.ordered(a, OrderAccepted)
}

func (p *player) unloadAt(a Action, e *playedEngine) {
	e.orders++
	delete(e.places, a.Ref)
	p.ordered(a, OrderAlreadyApplied)
}

// runAt lets a granted request reach its engine.
func (p *player) runAt(a Action, e *playedEngine) {
	r := p.open[a.Key]
	there, held := e.places[a.Ref]
	switch {
	case e.lost:
		p.after(time.Second, func() { p.again(a, r, EndedUnreachable) })
		return
	case !held || !there:
		p.again(a, r, EndedMisrouted)
		return
	}
	reading := time.Duration(float64(r.read) / p.d.readPerMs * float64(time.Millisecond))
	if e.readTo.Before(p.now) {
		e.readTo = p.now
	}
	e.readTo = e.readTo.Add(reading)
	p.after(e.readTo.Sub(p.now)+12*time.Millisecond, func() { p.first(a, e, r) })
}

func (p *player) again(a Action, r *playedRequest, how Ending) {
	p.out.retries++
	p.carryOut(p.s.Done(p.now, a.Key, how))
	p.next++
	key := Key{VM: "vm", Ticket: p.next}
	p.open[key] = r
	delete(p.open, a.Key)
	p.submit(key, r, []string{a.Target})
}

func (p *player) first(a Action, e *playedEngine, r *playedRequest) {
	if e.lost {
		p.fail(a, r)
		return
	}
	p.s.FirstEvent(p.now, a.Key)
	o := p.out.kinds[r.kind.name]
	switch took := p.now.Sub(r.asked); {
	case !r.again.IsZero() && p.now.Sub(r.again) <= r.kind.objective:
		o.back++
	case took <= r.kind.objective:
		o.inTime++
		at := min(int(r.asked.Sub(start.Add(3*time.Second))/time.Second), len(p.out.seconds)-1)
		p.out.seconds[at][0]++
	default:
		o.late++
	}
	// A step takes longer beside others' reading: 1.3 times here.
	p.after(time.Duration(1.3*float64(r.write)*float64(p.d.step)), func() {
		if _, open := p.open[a.Key]; open {
			delete(p.open, a.Key)
			p.carryOut(p.s.Done(p.now, a.Key, EndedOK))
		}
	})
}

func (p *player) fail(a Action, r *playedRequest) {
	delete(p.open, a.Key)
	p.out.kinds[r.kind.name].failed++
	p.carryOut(p.s.Done(p.now, a.Key, EndedFailed))
}
