package edge

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/origin"
	"github.com/junctionfold/junctionfold/internal/feed"
	"github.com/junctionfold/junctionfold/internal/gateway"
	"github.com/junctionfold/junctionfold/schema"
)

const (
	// originBatchInterval is the least time between two messages with the origins of streams. The
	// first one after a pause is sent at once.
	originBatchInterval = 100 * time.Millisecond
	// maxOriginQueries bounds the searches at other VMs at once: each asks up to all VMs of a zone, for a
	// name that the caller chose.
	maxOriginQueries = 64
	// originQueryTimeout bounds the search for an origin at other VMs. Live VMs reply within a few
	// milliseconds.
	originQueryTimeout = 400 * time.Millisecond
	// maxOriginGap is the age of the copy of the store above which a software version may have come
	// and gone unobserved. Copies are usually younger than a second.
	maxOriginGap = 1500 * time.Millisecond
	// maxOriginWindow exceeds the time for which any caller waits for its stream.
	maxOriginWindow = 24 * time.Hour
)

// origins holds which software versions began the streams of this VM's callers and of others', and finds
// those of the streams that callers take up here. It implements gateway.Origins. Lock order: no other
// lock is acquired while origins.mu is held.
type origins struct {
	node *Node
	// queries is the number of searches at other VMs.
	queries atomic.Int64

	mu      sync.Mutex
	table   *origin.Table
	history *origin.History
	// unsent are the records that other VMs do not have yet. sendScheduled reports that a message with
	// them is scheduled, and sentAt is when the last one was sent.
	unsent        []origin.Record
	sendScheduled bool
	sentAt        time.Time
}

func newOrigins(n *Node) *origins {
	return &origins{node: n, table: origin.NewTable(), history: origin.NewHistory(historyBegin(n))}
}

// historyBegin returns from when on the software versions that a VM observes first are known. Where the
// deployment starts for the first time, there were no streams before.
func historyBegin(n *Node) time.Time {
	if !n.settings.Vm.FirstStart {
		return time.Time{}
	}
	return n.startedAt.Add(-maxOriginWindow)
}

// observe records the software versions of all services in a changed directory.
func (o *origins) observe(d *feed.Directory) {
	versions := map[string][]string{}
	for _, t := range d.Targets {
		versions[t.Service] = append(versions[t.Service], t.SoftwareVersion)
	}
	now := o.node.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for service, v := range versions {
		o.history.Observe(now, service, v)
	}
}

// tick restarts the history while the copy of the store is too old to be complete.
func (o *origins) tick() {
	if o.node.feed.Age() <= maxOriginGap {
		return
	}
	now := o.node.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.Restart(now)
}

// expire drops the records that have expired.
func (o *origins) expire() {
	now := o.node.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Expire(now)
}

// Record implements gateway.Origins. It stores the record and schedules a message with it.
func (o *origins) Record(r origin.Record) {
	now := o.node.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Add(r)
	o.unsent = append(o.unsent, r)
	if o.sendScheduled {
		return
	}
	o.sendScheduled = true
	time.AfterFunc(o.sentAt.Add(originBatchInterval).Sub(now), o.sendUnsent)
}

// sendUnsent sends the records that other VMs do not have yet.
func (o *origins) sendUnsent() {
	now := o.node.now()
	o.mu.Lock()
	records := o.unsent
	o.unsent, o.sendScheduled, o.sentAt = nil, false, now
	o.mu.Unlock()
	o.send(originsToProto(now, records), o.node.originHolders())
}

// handOver sends all that this VM knows to the holders, because it leaves.
func (o *origins) handOver() { o.sendAll(o.node.originHolders()) }

// sendTo sends all that this VM knows to a VM that has joined, restarted or become responsive again, if it is one of
// the holders: it lacks those of the time before.
func (o *origins) sendTo(vm coord.VMID) {
	if slices.Contains(o.node.originHolders(), vm) {
		o.sendAll([]coord.VMID{vm})
	}
}

func (o *origins) sendAll(vms []coord.VMID) {
	now := o.node.now()
	o.mu.Lock()
	m := originsToProto(now, o.table.Records(now))
	m.Seen = seenToProto(now, o.history.Seen())
	o.mu.Unlock()
	o.send(m, vms)
}

func (o *origins) send(m *schema.StreamOrigins, vms []coord.VMID) {
	if len(m.Groups) == 0 && len(m.Seen) == 0 {
		return
	}
	call := &schema.Call{Body: &schema.Call_StreamOrigins{StreamOrigins: m}}
	for _, vm := range vms {
		go o.node.notify(vm, call)
	}
}

// merge stores what another VM knows.
func (o *origins) merge(m *schema.StreamOrigins) {
	now := o.node.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range originsFromProto(now, m) {
		o.table.Add(r)
	}
	for _, seen := range seenFromProto(now, m) {
		o.history.Adopt(seen)
	}
}

// Find implements gateway.Origins. A record, also of another VM, goes before a proof: this VM's copy of the
// store may lack a version that has just come.
func (o *origins) Find(ctx context.Context, q gateway.OriginQuery) (origin.Origin, gateway.OriginSource) {
	request := &schema.OriginQuery{Attempt: uint64(origin.AttemptOf(q.Attempt)), Service: q.Service}
	own := o.reply(request)
	if found := originOf(own); found.IsKnown() {
		return found, gateway.OriginOwn
	}
	claims := []origin.Claim{claimOf(own)}
	for reply := range o.ask(ctx, request) {
		if found := originOf(reply); found.IsKnown() {
			return found, gateway.OriginTold
		}
		claims = append(claims, claimOf(reply))
	}
	if v := origin.Prove(q.Window, claims); v != "" {
		return origin.Origin{Service: q.Service, SoftwareVersion: v}, gateway.OriginProved
	}
	return origin.Origin{}, gateway.OriginUnknown
}

// ask asks other VMs for an origin, unless too many searches are in progress. It closes the returned channel
// after the last reply, or after originQueryTimeout.
func (o *origins) ask(ctx context.Context, q *schema.OriginQuery) <-chan *schema.OriginReply {
	var vms []coord.VMID
	if o.queries.Add(1) <= maxOriginQueries {
		vms = o.node.originPeers()
	}
	replies := make(chan *schema.OriginReply, len(vms))
	ctx, cancel := context.WithTimeout(ctx, originQueryTimeout)
	var asked sync.WaitGroup
	for _, vm := range vms {
		asked.Go(func() {
			reply, err := o.node.mesh.Call(ctx, vm, &schema.Call{Body: &schema.Call_OriginQuery{OriginQuery: q}})
			if err != nil {
				o.node.log.PeerCallFailed("origin_query", string(vm), err)
				return
			}
			replies <- reply.GetOrigin()
		})
	}
	go func() {
		asked.Wait()
		o.queries.Add(-1)
		cancel()
		close(replies)
	}()
	return replies
}

// reply returns what this VM knows of an origin.
func (o *origins) reply(q *schema.OriginQuery) *schema.OriginReply {
	isCurrent := o.node.feed.Age() <= maxOriginGap
	now := o.node.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	out := &schema.OriginReply{}
	if found, ok := o.table.Find(now, origin.Attempt(q.Attempt)); ok {
		out.Service, out.SoftwareVersion = found.Service, found.SoftwareVersion
	}
	span, observed := o.history.Span(q.Service)
	if observed {
		out.Seen, out.SeenVersion, out.SeenForMs = true, span.Version, now.Sub(span.SeenSince).Milliseconds()
	}
	if observed && isCurrent {
		out.Observed, out.OnlyVersion, out.OnlyForMs = true, span.Version, now.Sub(span.Since).Milliseconds()
	}
	return out
}

// OnlySeen implements gateway.Origins. A VM that has just started knows nothing of the versions before, so
// that others are asked as well.
func (o *origins) OnlySeen(ctx context.Context, service string, window time.Duration) string {
	request := &schema.OriginQuery{Service: service}
	claims := []origin.Claim{seenClaimOf(o.reply(request))}
	for reply := range o.ask(ctx, request) {
		claims = append(claims, seenClaimOf(reply))
	}
	return origin.Prove(window, claims)
}

// recordCount returns the number of records, for metrics.
func (o *origins) recordCount() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return int64(o.table.Len())
}
