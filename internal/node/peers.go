package node

import (
	"context"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/internal/peer"
	"github.com/junctionfold/junctionfold/schema"
)

// peerHandler serves the requests of other VMs to a Node.
type peerHandler Node

// ServeForward runs an attempt on a target that this VM owns. If the sender has a newer bundle, it
// first waits for that bundle for up to bundleWaitTimeout.
func (h *peerHandler) ServeForward(ctx context.Context, from coord.VMID, f *schema.Forward, w *peer.AnswerWriter) {
	n := (*Node)(h)
	n.sync.ObserveVersions(from, f.BundleVersion, f.ListVersion)
	if n.lacksBundle(f.BundleVersion) {
		n.waitForBundle(ctx, f.BundleVersion)
	}
	_ = w.End(n.owner.Execute(ctx, f, w))
}

// HandleHeartbeat applies a heartbeat, or the hello of a new session, to the membership view.
func (h *peerHandler) HandleHeartbeat(hb *schema.Heartbeat) {
	n := (*Node)(h)
	if n.view.handleHeartbeat(hb) {
		n.log.WithField("peer", hb.Vm).WithField("leaving", hb.Leaving).Info("peer_heard")
	}
	n.sync.ObserveVersions(coord.VMID(hb.Vm), hb.BundleVersion, hb.ListVersion)
}

// ServeCall answers a call and adds this VM's bundle and list versions to the reply.
func (h *peerHandler) ServeCall(ctx context.Context, from coord.VMID, c *schema.Call) *schema.Reply {
	n := (*Node)(h)
	reply := n.answer(ctx, from, c)
	reply.BundleVersion, reply.ListVersion = n.sync.Versions()
	return reply
}

func (n *Node) answer(ctx context.Context, from coord.VMID, c *schema.Call) *schema.Reply {
	if r := n.records.Serve(ctx, from, c); r != nil {
		return r
	}
	if r := n.permits.Serve(ctx, c); r != nil {
		return r
	}
	switch body := c.Body.(type) {
	case *schema.Call_Heartbeat:
		(*peerHandler)(n).HandleHeartbeat(body.Heartbeat)
		return emptyReply()
	case *schema.Call_Suspect:
		n.handleSuspicion(body.Suspect)
		return emptyReply()
	case *schema.Call_Release:
		return &schema.Reply{Body: &schema.Reply_Release{Release: &schema.ReleaseReply{
			Released: n.owner.HandleReleaseRequest(body.Release.Claims),
		}}}
	case *schema.Call_Manifest:
		return n.manifestReply()
	case *schema.Call_Chunk:
		return n.chunkReply(body.Chunk.Hash)
	case *schema.Call_List:
		return &schema.Reply{Body: &schema.Reply_List{List: n.sync.List()}}
	}
	return &schema.Reply{Error: "call of no known kind"}
}

func emptyReply() *schema.Reply {
	return &schema.Reply{Body: &schema.Reply_Empty{Empty: &schema.Empty{}}}
}

func (n *Node) manifestReply() *schema.Reply {
	m := n.sync.Manifest()
	if m == nil {
		return emptyReply()
	}
	return &schema.Reply{Body: &schema.Reply_Manifest{Manifest: m}}
}

func (n *Node) chunkReply(hash []byte) *schema.Reply {
	data, ok := n.sync.Chunk(hash)
	if !ok {
		return &schema.Reply{Error: "no such chunk"}
	}
	return &schema.Reply{Body: &schema.Reply_Chunk{Chunk: &schema.ChunkReply{Data: data}}}
}

// handleSuspicion applies another VM's report that a VM is unresponsive. If the report names this
// VM, it immediately sends a heartbeat to all other VMs.
func (n *Node) handleSuspicion(s *schema.SuspectNotice) {
	if s.Vm == n.settings.Vm.Id {
		n.broadcast(&schema.Call{Body: &schema.Call_Heartbeat{Heartbeat: n.heartbeat()}})
		return
	}
	if n.view.handleSuspicion(coord.VMID(s.Vm), s.Incarnation) {
		n.metrics.Suspects.Add(1)
		n.log.WithField("peer", s.Vm).WithField("reporter", s.Reporter).Warn("peer_suspect")
	}
}

// broadcast sends a call to every other listed VM and does not wait for the replies.
func (n *Node) broadcast(c *schema.Call) {
	for _, vm := range n.view.Others() {
		go n.notify(vm, c)
	}
}

func (n *Node) notify(vm coord.VMID, c *schema.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	_, _ = n.mesh.Call(ctx, vm, c)
}
