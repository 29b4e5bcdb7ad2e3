// Package permits shares the bandwidth of the weight store between the owners of a fleet. One VM,
// the same for all VMs with the same view of the fleet, issues load permits. While it is
// unreachable, each VM falls back to its static share of the rate. A wrong choice costs only time,
// because concurrent loads slow each other down.
//
// Lock order: no other lock is acquired while Issuer.mu is held.
package permits

import (
	"context"
	"sync"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/loadpermit"
	"github.com/junctionfold/junctionfold/schema"
)

// IssuerKey is the rendezvous key that selects the issuing VM.
const IssuerKey = "load-turns"

// Time limits of load permits.
const (
	// requestTimeout bounds a request for a permit and each other call to the issuing VM.
	requestTimeout = 2 * time.Second
	// issuerWaitTimeout is how long the issuing VM keeps a request waiting. It is shorter than
	// requestTimeout so that a grant still reaches the requesting VM.
	issuerWaitTimeout = 1500 * time.Millisecond
	// maxHoldTime is the longest time that a permit is held.
	maxHoldTime = 5 * time.Second
	// deniedRetryDelay is the time after which a request that was not granted may be repeated.
	deniedRetryDelay = 100 * time.Millisecond
)

// Issuer issues load permits to the VMs that request them from this VM.
type Issuer struct {
	now func() time.Time

	mu      sync.Mutex
	permits *loadpermit.Issuer
	lastID  uint64
	waiters map[uint64]chan struct{}
	// pending is the waiting request of each target.
	pending map[coord.TargetID]uint64
	timer   *time.Timer
}

// NewIssuer returns an Issuer for a weight store that allows perSecond loads a second, one at a
// time.
func NewIssuer(perSecond float64, now func() time.Time) *Issuer {
	return &Issuer{
		now: now, waiters: map[uint64]chan struct{}{}, pending: map[coord.TargetID]uint64{},
		permits: loadpermit.New(loadpermit.Config{PerSecond: perSecond, Concurrent: 1, MaxHoldTime: maxHoldTime}),
	}
}

// SetRate applies the rate of a new bundle.
func (i *Issuer) SetRate(perSecond float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.permits.SetRate(perSecond)
}

// Request waits for a permit for a target, which has one request at a time.
func (i *Issuer) Request(ctx context.Context, target coord.TargetID, priority float64) (permit uint64, granted bool) {
	i.mu.Lock()
	i.lastID++
	id := i.lastID
	i.pending[target] = id
	waiter := make(chan struct{})
	i.waiters[id] = waiter
	i.notifyGranted(i.permits.Request(i.now(), loadpermit.Request{ID: id, Priority: priority}))
	i.mu.Unlock()
	defer i.removePending(target, id)
	select {
	case <-waiter:
		return id, true
	case <-ctx.Done():
		i.Release(id)
		return 0, false
	}
}

func (i *Issuer) removePending(target coord.TargetID, id uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.pending[target] == id {
		delete(i.pending, target)
	}
}

// RaisePriority changes the priority of a target's waiting request.
func (i *Issuer) RaisePriority(target coord.TargetID, priority float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if id, ok := i.pending[target]; ok {
		i.permits.RaisePriority(id, priority)
	}
}

// Release returns a permit, or withdraws a waiting request.
func (i *Issuer) Release(id uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.waiters, id)
	i.notifyGranted(i.permits.Cancel(i.now(), id))
}

// notifyGranted wakes the waiters of granted requests and sets the timer for the next grant. i.mu
// is held.
func (i *Issuer) notifyGranted(granted []uint64) {
	for _, id := range granted {
		if waiter := i.waiters[id]; waiter != nil {
			close(waiter)
			delete(i.waiters, id)
		}
	}
	if len(i.waiters) == 0 {
		return
	}
	wait := max(i.permits.NextGrant().Sub(i.now()), time.Millisecond)
	if i.timer == nil {
		i.timer = time.AfterFunc(wait, i.tick)
		return
	}
	i.timer.Reset(wait)
}

func (i *Issuer) tick() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.notifyGranted(i.permits.Tick(i.now()))
}

// PeerCaller calls other VMs.
type PeerCaller interface {
	Call(ctx context.Context, vm coord.VMID, call *schema.Call) (*schema.Reply, error)
}

// Coordinator requests load permits from the issuing VM. It implements owner.Permits.
type Coordinator struct {
	// Self is this VM, and Local its own issuer.
	Self  coord.VMID
	Local *Issuer
	// Fallback issues permits at this VM's static share while the issuing VM is unreachable.
	Fallback *Issuer
	Peers    PeerCaller
	// IssuerVM returns the VM that currently issues permits.
	IssuerVM func() coord.VMID
}

// Acquire waits for a permit. release returns the permit. If granted is false, retryAfter is the
// delay before the next request.
func (c *Coordinator) Acquire(ctx context.Context, target coord.TargetID, priority float64) (release func(), granted bool, retryAfter time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	vm := c.IssuerVM()
	if vm == c.Self || vm == "" {
		return acquireFrom(ctx, c.Local, target, priority)
	}
	reply, err := c.Peers.Call(ctx, vm, &schema.Call{Body: &schema.Call_Turn{Turn: &schema.TurnRequest{
		Vm: string(c.Self), Target: string(target), Value: priority, TimeoutMs: issuerWaitTimeout.Milliseconds(),
	}}})
	if err != nil && ctx.Err() == nil {
		return acquireFrom(ctx, c.Fallback, target, priority)
	}
	if err != nil || !reply.GetTurn().GetGranted() {
		return nil, false, deniedRetryDelay
	}
	permit := reply.GetTurn().GetTurn()
	return func() { c.releaseRemote(vm, permit) }, true, 0
}

func acquireFrom(ctx context.Context, issuer *Issuer, target coord.TargetID, priority float64) (release func(), granted bool, retryAfter time.Duration) {
	permit, ok := issuer.Request(ctx, target, priority)
	if !ok {
		return nil, false, deniedRetryDelay
	}
	return func() { issuer.Release(permit) }, true, 0
}

// RaisePriority changes the priority of a target's waiting request. A lost call costs only time.
func (c *Coordinator) RaisePriority(target coord.TargetID, priority float64) {
	vm := c.IssuerVM()
	if vm == c.Self || vm == "" {
		c.Local.RaisePriority(target, priority)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	_, _ = c.Peers.Call(ctx, vm, &schema.Call{Body: &schema.Call_TurnRaise{
		TurnRaise: &schema.TurnRaise{Target: string(target), Value: priority},
	}})
}

func (c *Coordinator) releaseRemote(vm coord.VMID, permit uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	_, _ = c.Peers.Call(ctx, vm, &schema.Call{Body: &schema.Call_TurnDone{TurnDone: &schema.TurnDone{Turn: permit}}})
}

// Serve answers another VM's call about load permits. It returns nil for other calls.
func (c *Coordinator) Serve(ctx context.Context, call *schema.Call) *schema.Reply {
	switch body := call.Body.(type) {
	case *schema.Call_Turn:
		ctx, cancel := context.WithTimeout(ctx, time.Duration(body.Turn.TimeoutMs)*time.Millisecond)
		defer cancel()
		permit, ok := c.Local.Request(ctx, coord.TargetID(body.Turn.Target), body.Turn.Value)
		return &schema.Reply{Body: &schema.Reply_Turn{Turn: &schema.TurnReply{
			Granted: ok, Turn: permit, RetryAfterMs: deniedRetryDelay.Milliseconds(),
		}}}
	case *schema.Call_TurnRaise:
		c.Local.RaisePriority(coord.TargetID(body.TurnRaise.Target), body.TurnRaise.Value)
		return &schema.Reply{Body: &schema.Reply_Empty{Empty: &schema.Empty{}}}
	case *schema.Call_TurnDone:
		c.Local.Release(body.TurnDone.Turn)
		return &schema.Reply{Body: &schema.Reply_Empty{Empty: &schema.Empty{}}}
	}
	return nil
}
