package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// errLeaseExpired marks an order that was not sent: while it waited for a worker, or while this VM
// was paused, the lease under which it was decided expired.
var errLeaseExpired = errors.New("the lease of the order is over")

// sendOrder sends one order to its engine and reports the result to the scheduler.
func (ss *schedulers) sendOrder(sc *serviceScheduler, t *fleet.Target, a scheduler.Action) {
	n := ss.node
	answer, err := fleet.OrderAnswer{Result: fleet.OrderConflict}, errLeaseExpired // treated as if the engine had rejected it
	startedAt := n.now()
	token := n.orderFencingToken()
	if token == a.FencingToken {
		answer, err = n.platform.Engines.Order(context.Background(), fleet.Order{
			Target: t.ID, Address: t.Address, Unload: a.Kind == scheduler.ActUnload, Ref: a.Ref,
			Version: a.Version, Holder: n.settings.Vm.Id, FencingToken: token, ExpectedOrders: a.ExpectedOrders,
		})
	}
	n.reachability.recordEngineCall(t.ID, startedAt, err)
	n.handleNotice(t.ID, answer.Notice, nil)
	result := answer.Result
	n.logOrder(t, a, token, result, err, n.now().Sub(startedAt))
	if result == fleet.OrderFenced {
		n.mu.Lock()
		n.leadership.HandleRejection(token)
		n.leadership.ObserveOtherOrders(n.now())
		n.mu.Unlock()
	}
	ss.each(func(other *serviceScheduler, now time.Time) []scheduler.Action {
		if other != sc {
			return nil
		}
		return sc.scheduler.OrderAnswered(now, t.ID, a.Kind == scheduler.ActUnload, a.Ref, orderResult(result))
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

func (n *Node) logOrder(t *fleet.Target, a scheduler.Action, token uint64, r fleet.OrderResult, err error, took time.Duration) {
	kind := "load"
	if a.Kind == scheduler.ActUnload {
		kind = "unload"
	}
	n.metrics.Orders.Add(kind+"."+r.String(), 1)
	expected := int64(-1)
	if a.ExpectedOrders != nil {
		expected = int64(*a.ExpectedOrders)
	}
	n.log.OrderAnswered(events.Order{
		Kind: kind, Target: t.ID, Adapter: a.Ref.String(), Version: a.Version,
		FencingToken: token, ExpectedOrders: expected, Result: r.String(), Took: took, Err: err,
		Basis: a.Basis,
	})
}

// errEngineRestarted marks a report from an incarnation other than the requested one.
var errEngineRestarted = errors.New("the engine has restarted")

// startTime asks a target for its start time in Unix ms.
func (n *Node) startTime(ctx context.Context, target, address string) (int64, error) {
	report, err := n.platform.Engines.Report(ctx, target, address)
	return report.Started, err
}

// readReport reads a target's report and passes it to the scheduler. The report of a later
// incarnation shows that the requested one is gone; the report of an earlier one shows nothing.
func (ss *schedulers) readReport(sc *serviceScheduler, t *fleet.Target) {
	startedAt := ss.node.now()
	report, err := ss.node.platform.Engines.Report(context.Background(), t.ID, t.Address)
	ss.node.reachability.recordEngineCall(t.ID, startedAt, err)
	ss.node.handleNotice(t.ID, report.Notice, nil)
	otherIncarnation := err == nil && t.Started != 0 && report.Started != 0 && report.Started != t.Started
	if otherIncarnation {
		err = errEngineRestarted
	}
	if err != nil {
		ss.node.log.ReportFailed(t.ID, err)
	}
	r := scheduler.Report{Resident: residentItems(report.Resident), Pending: report.Pending, Busy: report.Busy, OrderCount: report.OrderCount}
	ss.each(func(other *serviceScheduler, now time.Time) []scheduler.Action {
		switch {
		case other != sc:
			return nil
		case otherIncarnation && report.Started > t.Started:
			return sc.scheduler.TargetReplaced(now, t.ID)
		}
		return sc.scheduler.HandleReport(now, t.ID, r, err == nil)
	})
}
