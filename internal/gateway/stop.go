package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Stop holds the times of a planned stop.
type Stop struct {
	// SendUntil is until when requests are sent that may outlast the stop. Later ones are refused, so that
	// their callers come to another VM.
	SendUntil time.Time
	// AnswerAt is when requests are answered of which no response has begun.
	AnswerAt time.Time
}

// errStopping is the cause that ends a request because the VM stops.
var errStopping = errors.New("the VM stops")

// stopRetryDelay is for requests that a VM refuses because it stops. Other VMs can serve them.
const stopRetryDelay = 50 * time.Millisecond

// stopSignals end requests at the times of a planned stop.
type stopSignals struct {
	stop atomic.Pointer[Stop]
	// sendEnd ends at Stop.SendUntil, and answer at Stop.AnswerAt.
	sendEnd, answer             context.Context
	cancelSendEnd, cancelAnswer context.CancelFunc
}

func newStopSignals() *stopSignals {
	s := &stopSignals{}
	s.sendEnd, s.cancelSendEnd = context.WithCancel(context.Background())
	s.answer, s.cancelAnswer = context.WithCancel(context.Background())
	return s
}

// Drain makes each further response close its connection, and ends what the VM cannot finish before it stops:
// requests that wait are refused, and those at a target are answered, before their connections are cut.
func (g *Gateway) Drain(s Stop) {
	now := g.cfg.Now()
	g.stopping.stop.Store(&s)
	time.AfterFunc(s.SendUntil.Sub(now), g.stopping.cancelSendEnd)
	time.AfterFunc(s.AnswerAt.Sub(now), g.stopping.cancelAnswer)
}

// isDraining reports whether the VM is about to stop.
func (g *Gateway) isDraining() bool { return g.stopping.stop.Load() != nil }

// endWithStop ends the request's context when the VM stops: at Stop.SendUntil if the request may outlast the
// stop and no target has it, and at Stop.AnswerAt if its response has not begun. It returns a function that
// releases the resources.
func (x *exchange) endWithStop(cancel context.CancelCauseFunc) (release func()) {
	stopSendEnd := context.AfterFunc(x.g.stopping.sendEnd, func() {
		if x.mayOutlastStop() && !x.sent.Load() {
			cancel(errStopping)
		}
	})
	stopAnswer := context.AfterFunc(x.g.stopping.answer, func() {
		if !x.responding.Load() {
			cancel(errStopping)
		}
	})
	return func() {
		stopSendEnd()
		stopAnswer()
	}
}

// mayOutlastStop reports whether the time of the request exceeds that until the VM stops.
func (x *exchange) mayOutlastStop() bool {
	s := x.g.stopping.stop.Load()
	return s != nil && x.deadline.After(s.AnswerAt)
}

// isTooLateToSend reports whether the request must not be sent to a target anymore, because the VM stops.
func (x *exchange) isTooLateToSend() bool {
	return x.mayOutlastStop() && !x.g.cfg.Now().Before(x.g.stopping.stop.Load().SendUntil)
}

// isEndedByStop reports whether the VM has ended the request because it stops.
func (x *exchange) isEndedByStop() bool { return errors.Is(context.Cause(x.ctx), errStopping) }
