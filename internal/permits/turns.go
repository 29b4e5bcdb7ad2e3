// Package turns shares the weight store between the owners of a fleet. One VM,
// the same for all who have the same view, gives turns; when it cannot be
// reached, each VM falls back to its static share of the rate. A wrong choice
// costs time only: the loads slow each other.
//
// Lock order: Giver.mu is taken alone.
package permits

import (
	"context"
	"sync"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/loadpermit"
	"github.com/junctionfold/junctionfold/schema"
)

// IssuerKey is the rendezvous key of the giver.
const IssuerKey = "load-turns"

// Limits of a turn.
const (
	// askTimeout is how long an ask waits at the giver.
	askTimeout = 2 * time.Second
	// serveTimeout is how long the giver lets an ask wait: less, so that a grant
	// still reaches the asker.
	serveTimeout = 1500 * time.Millisecond
	// holdTimeout is the longest that a turn lasts.
	holdTimeout = 5 * time.Second
	// deniedRetry is when an ask that was not granted may come again.
	deniedRetry = 100 * time.Millisecond
)

// Issuer gives turns to whoever asks this VM.
type Issuer struct {
	now func() time.Time

	mu     sync.Mutex
	give   *loadpermit.Issuer
	next   uint64
	wakers map[uint64]chan struct{}
	// asks is the waiting ask of each target.
	asks  map[coord.TargetID]uint64
	timer *time.Timer
}

// NewIssuer returns a Giver for a weight store that allows perSecond loads, one
// at a time.
func NewIssuer(perSecond float64, now func() time.Time) *Issuer {
	return &Issuer{
		now: now, wakers: map[uint64]chan struct{}{}, asks: map[coord.TargetID]uint64{},
		give: loadpermit.New(loadpermit.Config{PerSecond: perSecond, Concurrent: 1, MaxHoldTime: holdTimeout}),
	}
}

// SetRate takes the rate of a new bundle.
func (g *Issuer) SetRate(perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.give.SetRate(perSecond)
}

// Request waits for a turn for a target, which has one ask at a time.
func (g *Issuer) Request(ctx context.Context, target coord.TargetID, value float64) (turn uint64, granted bool) {
	g.mu.Lock()
	g.next++
	id := g.next
	g.asks[target] = id
	waker := make(chan struct{})
	g.wakers[id] = waker
	g.wake(g.give.Request(g.now(), loadpermit.Request{ID: id, Priority: value}))
	g.mu.Unlock()
	defer g.forget(target, id)
	select {
	case <-waker:
		return id, true
	case <-ctx.Done():
		g.Release(id)
		return 0, false
	}
}

func (g *Issuer) forget(target coord.TargetID, id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.asks[target] == id {
		delete(g.asks, target)
	}
}

// RaisePriority changes the value of a target's waiting ask.
func (g *Issuer) RaisePriority(target coord.TargetID, value float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if id, ok := g.asks[target]; ok {
		g.give.RaisePriority(id, value)
	}
}

// Release gives a turn back, or withdraws an ask.
func (g *Issuer) Release(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.wakers, id)
	g.wake(g.give.Cancel(g.now(), id))
}

// wake tells the granted askers, and sets the timer for the next grant. g.mu is
// held.
func (g *Issuer) wake(granted []uint64) {
	for _, id := range granted {
		if w := g.wakers[id]; w != nil {
			close(w)
			delete(g.wakers, id)
		}
	}
	if len(g.wakers) == 0 {
		return
	}
	wait := max(g.give.NextGrant().Sub(g.now()), time.Millisecond)
	if g.timer == nil {
		g.timer = time.AfterFunc(wait, g.tick)
		return
	}
	g.timer.Reset(wait)
}

func (g *Issuer) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(g.give.Tick(g.now()))
}

// PeerCaller asks other VMs.
type PeerCaller interface {
	Call(ctx context.Context, vm coord.VMID, c *schema.Call) (*schema.Reply, error)
}

// Coordinator asks the giver for turns. It implements owner.Turns.
type Coordinator struct {
	// Self is this VM, Local its own giver.
	Self  coord.VMID
	Local *Issuer
	// Fallback gives turns at this VM's static share when the giver is lost.
	Fallback *Issuer
	Peers    PeerCaller
	// IssuerVM returns the VM that gives turns now.
	IssuerVM func() coord.VMID
}

// Acquire waits for a turn.
func (t *Coordinator) Acquire(ctx context.Context, target coord.TargetID, value float64) (done func(), granted bool, retry time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	vm := t.IssuerVM()
	if vm == t.Self || vm == "" {
		return acquireFrom(ctx, t.Local, target, value)
	}
	reply, err := t.Peers.Call(ctx, vm, &schema.Call{Body: &schema.Call_Turn{Turn: &schema.TurnRequest{
		Vm: string(t.Self), Target: string(target), Value: value, TimeoutMs: serveTimeout.Milliseconds(),
	}}})
	if err != nil && ctx.Err() == nil {
		return acquireFrom(ctx, t.Fallback, target, value)
	}
	if err != nil || !reply.GetTurn().GetGranted() {
		return nil, false, deniedRetry
	}
	turn := reply.GetTurn().GetTurn()
	return func() { t.giveBack(vm, turn) }, true, 0
}

func acquireFrom(ctx context.Context, g *Issuer, target coord.TargetID, value float64) (done func(), granted bool, retry time.Duration) {
	turn, ok := g.Request(ctx, target, value)
	if !ok {
		return nil, false, deniedRetry
	}
	return func() { g.Release(turn) }, true, 0
}

// RaisePriority changes the value of a target's waiting ask. A raise that is lost costs
// time only.
func (t *Coordinator) RaisePriority(target coord.TargetID, value float64) {
	vm := t.IssuerVM()
	if vm == t.Self || vm == "" {
		t.Local.RaisePriority(target, value)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	_, _ = t.Peers.Call(ctx, vm, &schema.Call{Body: &schema.Call_TurnRaise{
		TurnRaise: &schema.TurnRaise{Target: string(target), Value: value},
	}})
}

func (t *Coordinator) giveBack(vm coord.VMID, turn uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	_, _ = t.Peers.Call(ctx, vm, &schema.Call{Body: &schema.Call_TurnDone{TurnDone: &schema.TurnDone{Turn: turn}}})
}

// Serve answers another VM's call about turns. It returns nil for other calls.
func (t *Coordinator) Serve(ctx context.Context, c *schema.Call) *schema.Reply {
	switch body := c.Body.(type) {
	case *schema.Call_Turn:
		ctx, cancel := context.WithTimeout(ctx, time.Duration(body.Turn.TimeoutMs)*time.Millisecond)
		defer cancel()
		turn, ok := t.Local.Request(ctx, coord.TargetID(body.Turn.Target), body.Turn.Value)
		return &schema.Reply{Body: &schema.Reply_Turn{Turn: &schema.TurnReply{
			Granted: ok, Turn: turn, RetryAfterMs: deniedRetry.Milliseconds(),
		}}}
	case *schema.Call_TurnRaise:
		t.Local.RaisePriority(coord.TargetID(body.TurnRaise.Target), body.TurnRaise.Value)
		return &schema.Reply{Body: &schema.Reply_Empty{Empty: &schema.Empty{}}}
	case *schema.Call_TurnDone:
		t.Local.Release(body.TurnDone.Turn)
		return &schema.Reply{Body: &schema.Reply_Empty{Empty: &schema.Empty{}}}
	}
	return nil
}
