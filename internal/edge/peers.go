package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/roster"
	"github.com/junctionfold/junctionfold/internal/feed"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/schema"
)

// notifyTimeout bounds heartbeats, notifications and other calls to a VM that no request waits for.
const notifyTimeout = time.Second

// peerHandler serves the messages of other VMs.
type peerHandler Node

// HandleHeartbeat applies the roster that a heartbeat carries.
func (h *peerHandler) HandleHeartbeat(hb *schema.Heartbeat) {
	if hb.Roster != nil {
		n := (*Node)(h)
		n.overload.recordPeer(coord.VMID(hb.Vm), hb.Roster.Overloaded)
		n.handleRoster(coord.VMID(hb.Vm), hb.Roster)
	}
}

// ServeCall handles a call and returns its reply.
func (h *peerHandler) ServeCall(ctx context.Context, from coord.VMID, c *schema.Call) *schema.Reply {
	n := (*Node)(h)
	switch body := c.Body.(type) {
	case *schema.Call_Roster:
		n.mergeRoster(body.Roster)
		return &schema.Reply{Body: &schema.Reply_Roster{Roster: n.fullRoster()}}
	case *schema.Call_Feed:
		u, err := updateFromProto(body.Feed)
		if err != nil {
			return &schema.Reply{Error: err.Error()}
		}
		n.feed.ApplyFromPeer(from, u)
		return emptyReply()
	case *schema.Call_FeedPull:
		if body.FeedPull.Config {
			return n.configReply()
		}
		u, ok := n.feed.ChangesSince(fleet.Revision(body.FeedPull.After))
		if !ok {
			return &schema.Reply{Error: "nothing read from the store yet"}
		}
		return &schema.Reply{Body: &schema.Reply_Feed{Feed: updateToProto(u)}}
	case *schema.Call_Admit:
		v := n.admit(ctx, from, body.Admit)
		return &schema.Reply{Body: &schema.Reply_Verdict{Verdict: v}}
	case *schema.Call_Running:
		n.schedulers.adopt(from, body.Running)
		return emptyReply()
	case *schema.Call_Done: // see callDone
		n.done(from, body.Done)
		return emptyReply()
	case *schema.Call_FeedProof:
		confirmation := n.feed.Confirmation()
		return &schema.Reply{Body: &schema.Reply_FeedState{FeedState: &schema.FeedState{
			LastChange: uint64(confirmation.LastChange), ProvenMs: confirmedAgeMs(confirmation.ConfirmedAge),
		}}}
	case *schema.Call_Suspects:
		n.quarantine.mergeFindings(body.Suspects)
		return emptyReply()
	case *schema.Call_StreamOrigins:
		n.origins.merge(body.StreamOrigins)
		return emptyReply()
	case *schema.Call_OriginQuery:
		return &schema.Reply{Body: &schema.Reply_Origin{Origin: n.origins.reply(body.OriginQuery)}}
	case *schema.Call_Leaving:
		n.handleLeavingTargets(body.Leaving)
		return emptyReply()
	case *schema.Call_RateLimits:
		for _, m := range body.RateLimits.Limits {
			n.limitsOf(m.Kind).handleReport(from, m)
		}
		return emptyReply()
	case *schema.Call_Heartbeat:
		return emptyReply()
	}
	return &schema.Reply{Error: "call of no known kind"}
}

// handleNotification handles the end or the first event of a request that this VM decided on.
func (n *Node) handleNotification(from coord.VMID, c *schema.Call) {
	if d := c.GetDone(); d != nil {
		n.done(from, d)
	}
}

// configReply returns the active configuration as an update of one item.
func (n *Node) configReply() *schema.Reply {
	item, ok := n.feed.ActiveConfig()
	if !ok {
		return &schema.Reply{Error: "no configuration is in force"}
	}
	u := feed.Update{From: item.Revision, To: item.Revision, Items: []fleet.Item{item}}
	return &schema.Reply{Body: &schema.Reply_Feed{Feed: updateToProto(u)}}
}

func emptyReply() *schema.Reply {
	return &schema.Reply{Body: &schema.Reply_Empty{Empty: &schema.Empty{}}}
}

// peerAddress returns the address at which a VM accepts sessions, or "" if it is unknown.
func (n *Node) peerAddress(vm coord.VMID) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m := n.roster.Member(vm); m != nil {
		return m.Address
	}
	return ""
}

// rosterDigest returns the roster that heartbeats carry.
func (n *Node) rosterDigest() *schema.Roster {
	n.mu.Lock()
	entries, heartbeats := n.roster.Digest(n.now())
	n.mu.Unlock()
	out := rosterToProto(entries)
	for _, h := range heartbeats {
		out.Digests = append(out.Digests, h.Digest)
		out.Counts = append(out.Counts, h.Count)
	}
	out.Overloaded = n.overload.isOverloaded()
	s := n.feed.State()
	out.FeedLastChange, out.FeedRevision = uint64(s.LastChange), uint64(s.To)
	out.FeedAgeMs, out.FeedReads, out.ConfigVersion = s.Age.Milliseconds(), s.ReadCount, s.ConfigVersion
	return out
}

// fullRoster returns all roster entries, for a VM that joins or lacks entries.
func (n *Node) fullRoster() *schema.Roster {
	n.mu.Lock()
	entries := n.roster.Snapshot()
	n.mu.Unlock()
	return rosterToProto(entries)
}

func rosterToProto(entries []roster.Entry) *schema.Roster {
	out := &schema.Roster{Entries: make([]*schema.RosterEntry, 0, len(entries)), FeedAgeMs: -1}
	for _, e := range entries {
		out.Entries = append(out.Entries, &schema.RosterEntry{
			Vm: string(e.ID), Address: e.Address, Zone: e.Zone, Incarnation: e.Incarnation,
			Beat: e.Heartbeat, Leaving: e.Leaving, Fence: e.FencingToken, Capacity: e.Capacity, Isolated: e.Isolated,
		})
	}
	return out
}

func entriesFromProto(r *schema.Roster) []roster.Entry {
	entries := make([]roster.Entry, 0, len(r.Entries))
	for _, e := range r.Entries {
		entries = append(entries, roster.Entry{
			ID: coord.VMID(e.Vm), Address: e.Address, Zone: e.Zone, Incarnation: e.Incarnation,
			Heartbeat: e.Beat, Leaving: e.Leaving, FencingToken: e.Fence, Capacity: e.Capacity, Isolated: e.Isolated,
		})
	}
	return entries
}

func (n *Node) mergeRoster(r *schema.Roster) {
	n.mu.Lock()
	changes := n.roster.Merge(n.now(), entriesFromProto(r))
	incarnation := n.roster.Self().Incarnation
	n.mu.Unlock()
	n.raiseTickets(incarnation)
	n.onRosterChanges(changes)
}

// raiseTickets keeps tickets above this process's incarnation, which is raised when another VM
// remembers a higher one: other VMs attribute lower tickets to the previous process.
func (n *Node) raiseTickets(incarnation uint64) {
	for {
		last := n.tickets.Load()
		if last >= incarnation || n.tickets.CompareAndSwap(last, incarnation) {
			return
		}
	}
}

// handleRoster applies the roster of a heartbeat. Entries that this VM lacks are requested from the
// sender.
func (n *Node) handleRoster(from coord.VMID, r *schema.Roster) {
	n.leaderMonitor.recordResponse(n.now(), from)
	n.mergeRoster(r)
	heartbeats := make([]roster.HeartbeatCount, 0, len(r.Digests))
	for i, d := range r.Digests {
		if i < len(r.Counts) {
			heartbeats = append(heartbeats, roster.HeartbeatCount{Digest: d, Count: r.Counts[i]})
		}
	}
	n.mu.Lock()
	changes, unknown := n.roster.MergeHeartbeats(n.now(), heartbeats)
	n.mu.Unlock()
	n.onRosterChanges(changes)
	if unknown {
		go n.requestRoster(from)
	}
	n.feed.ObserveState(from, feed.State{
		LastChange: fleet.Revision(r.FeedLastChange), To: fleet.Revision(r.FeedRevision),
		Age: time.Duration(r.FeedAgeMs) * time.Millisecond, ReadCount: r.FeedReads, ConfigVersion: r.ConfigVersion,
	})
}

// rosterRequestInterval is the least time between two requests for roster entries.
const rosterRequestInterval = time.Second

// requestRoster requests all roster entries that a VM knows.
func (n *Node) requestRoster(vm coord.VMID) {
	n.mu.Lock()
	due := n.now().Sub(n.rosterRequestedAt) >= rosterRequestInterval
	if due {
		n.rosterRequestedAt = n.now()
	}
	n.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	reply, err := n.mesh.Call(ctx, vm, &schema.Call{Body: &schema.Call_Roster{Roster: rosterToProto(nil)}})
	if err != nil {
		n.log.PeerCallFailed("roster", string(vm), err)
		return
	}
	if reply.GetRoster() != nil {
		n.mergeRoster(reply.GetRoster())
	}
}

// feedPeers gives the feed access to other VMs. It implements feed.Peers.
type feedPeers Node

// IsStoreWatcher reports whether this VM watches the store for the others.
func (p *feedPeers) IsStoreWatcher() bool { return (*Node)(p).isStoreWatcher.Load() }

// VMCount returns the size of the fleet.
func (p *feedPeers) VMCount() int { return int((*Node)(p).vmCount.Load()) }

// Relay sends an update to all live VMs.
func (p *feedPeers) Relay(u feed.Update) {
	n := (*Node)(p)
	call := &schema.Call{Body: &schema.Call_Feed{Feed: updateToProto(u)}}
	for _, vm := range n.livePeers() {
		go n.notify(vm, call)
	}
}

// errNoPeer is returned when there is no other VM to query.
var errNoPeer = errors.New("no other VM is known")

// Pull requests the changes after a revision from up to fanout random VMs, one after the other, and
// returns the first update.
func (p *feedPeers) Pull(ctx context.Context, after fleet.Revision) (feed.Update, error) {
	err := errNoPeer
	for _, vm := range randomSample((*Node)(p).livePeers(), fanout) {
		var u feed.Update
		if u, err = p.PullFrom(ctx, vm, after); err == nil {
			return u, nil
		}
	}
	return feed.Update{}, err
}

// QueryStoreWatcher requests the confirmation of a store watcher's copy, from one in this zone if
// possible. A store watcher confirms its copy by its own reads of the store.
func (p *feedPeers) QueryStoreWatcher(ctx context.Context) (coord.VMID, feed.Confirmation, error) {
	vm := (*Node)(p).randomStoreWatcher()
	if vm == "" {
		return "", feed.Confirmation{}, errNoPeer
	}
	reply, err := (*Node)(p).mesh.Call(ctx, vm, &schema.Call{Body: &schema.Call_FeedProof{FeedProof: &schema.FeedProof{}}})
	if err != nil {
		return vm, feed.Confirmation{}, err
	}
	state := reply.GetFeedState()
	if state == nil {
		return vm, feed.Confirmation{}, errors.Newf("%s replied without the state of its store copy", vm)
	}
	return vm, feed.Confirmation{LastChange: fleet.Revision(state.LastChange), ConfirmedAge: time.Duration(state.ProvenMs) * time.Millisecond}, nil
}

// PullFrom requests the changes after a revision from one VM.
func (p *feedPeers) PullFrom(ctx context.Context, vm coord.VMID, after fleet.Revision) (feed.Update, error) {
	return p.pull(ctx, vm, &schema.FeedPull{After: uint64(after)})
}

// PullConfig requests the configuration that is active at one VM.
func (p *feedPeers) PullConfig(ctx context.Context, vm coord.VMID) (fleet.Item, error) {
	u, err := p.pull(ctx, vm, &schema.FeedPull{Config: true})
	if err != nil {
		return fleet.Item{}, err
	}
	if len(u.Items) != 1 {
		return fleet.Item{}, errors.Newf("%s replied with %d items instead of one configuration", vm, len(u.Items))
	}
	return u.Items[0], nil
}

func (p *feedPeers) pull(ctx context.Context, vm coord.VMID, request *schema.FeedPull) (feed.Update, error) {
	reply, err := (*Node)(p).mesh.Call(ctx, vm, &schema.Call{Body: &schema.Call_FeedPull{FeedPull: request}})
	if err != nil {
		return feed.Update{}, err
	}
	if reply.GetFeed() == nil {
		return feed.Update{}, errors.Newf("%s replied without an update", vm)
	}
	return updateFromProto(reply.GetFeed())
}

// livePeers returns the VMs that are not suspect, except this one.
func (n *Node) livePeers() []coord.VMID {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []coord.VMID
	for _, m := range n.roster.Members() {
		if m.State != roster.Suspect {
			out = append(out, m.ID)
		}
	}
	return out
}

func (n *Node) notify(vm coord.VMID, c *schema.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if _, err := n.mesh.Call(ctx, vm, c); err != nil {
		n.log.PeerCallFailed("tell", string(vm), err)
	}
}
