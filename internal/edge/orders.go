package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// errLeaseOver marks an order that was not given: it waited for a worker, or this VM stood
// still, and the lease under which it was decided is over.
var errLeaseOver = errors.New("the lease of the order is over")

// order gives one order and feeds the answer back.
func (ss *schedules) order(sc *schedule, t *fleet.Target, a scheduler.Action) {
	n := ss.node
	answer, err := fleet.OrderAnswer{Result: fleet.OrderConflict}, errLeaseOver // as if not taken
	began := n.now()
	fence := n.orderFence()
	if fence == a.FencingToken {
		answer, err = n.platform.Engines.Order(context.Background(), fleet.Order{
			Target: t.ID, Address: t.Address, Unload: a.Kind == scheduler.ActUnload, Ref: a.Ref,
			Version: a.Version, Holder: n.settings.Vm.Id, FencingToken: fence, ExpectedOrders: a.ExpectedOrders,
		})
	}
	n.targetSaid(t.ID, answer.Notice, nil)
	result := answer.Result
	n.logOrder(t, a, fence, result, err, n.now().Sub(began))
	if result == fleet.OrderFenced {
		n.mu.Lock()
		n.duty.HandleRejection(fence)
		n.mu.Unlock()
	}
	ss.each(func(other *schedule, now time.Time) []scheduler.Action {
		if other != sc {
			return nil
		}
		return sc.s.OrderAnswered(now, t.ID, a.Kind == scheduler.ActUnload, a.Ref, orderResult(result))
	})
}

func orderResult(r fleet.OrderResult) scheduler.OrderResult {
	switch r {
	case fleet.OrderAccepted:
		return scheduler.OrderAccepted
	case fleet.OrderAlreadyApplied:
		return scheduler.OrderAlreadyApplied
	case fleet.OrderUnknown:
		return scheduler.OrderUnknown
	}
	return scheduler.OrderRejected
}

func (n *Node) logOrder(t *fleet.Target, a scheduler.Action, fence uint64, r fleet.OrderResult, err error, took time.Duration) {
	kind := "load"
	if a.Kind == scheduler.ActUnload {
		kind = "unload"
	}
	n.metrics.Orders.Add(kind+"."+r.String(), 1)
	expect := int64(-1)
	if a.ExpectedOrders != nil {
		expect = int64(*a.ExpectedOrders)
	}
	n.log.OrderAnswered(events.Order{
		Kind: kind, Target: t.ID, Adapter: a.Ref.String(), Version: a.Version,
		FencingToken: fence, ExpectedOrders: expect, Result: r.String(), Took: took, Err: err,
		Basis: a.Basis,
	})
}

// errReborn marks a report of another incarnation than the one that was asked for.
var errReborn = errors.New("the engine has started again")

// read reads a target's report and feeds it back. The report of a later start says that the
// incarnation asked for is gone; that of an earlier one says nothing.
func (ss *schedules) read(sc *schedule, t *fleet.Target) {
	report, err := ss.node.platform.Engines.Report(context.Background(), t.ID, t.Address)
	ss.node.targetSaid(t.ID, report.Notice, nil)
	another := err == nil && t.Started != 0 && report.Started != 0 && report.Started != t.Started
	if another {
		err = errReborn
	}
	if err != nil {
		ss.node.log.ReportFailed(t.ID, err)
	}
	r := scheduler.Report{Resident: holdings(report.Resident), Pending: report.Pending, Busy: report.Busy, OrderCount: report.OrderCount}
	ss.each(func(other *schedule, now time.Time) []scheduler.Action {
		switch {
		case other != sc:
			return nil
		case another && report.Started > t.Started:
			return sc.s.TargetReplaced(now, t.ID)
		}
		return sc.s.HandleReport(now, t.ID, r, err == nil)
	})
}
