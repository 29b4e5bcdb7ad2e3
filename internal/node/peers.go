package node

import (
	"context"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/internal/peer"
	"github.com/junctionfold/junctionfold/schema"
)

// peerHandler serves what other VMs ask of a Node.
type peerHandler Node

// ServeForward runs an attempt on a target that this VM owns.
func (h *peerHandler) ServeForward(ctx context.Context, from coord.VMID, f *schema.Forward, w *peer.AnswerWriter) {
	n := (*Node)(h)
	n.sync.ObserveVersions(from, f.BundleVersion, f.ListVersion)
	if n.behind(f.BundleVersion) {
		n.waitForBundle(ctx, f.BundleVersion)
	}
	_ = w.End(n.owner.Execute(ctx, f, w))
}

// HandleHeartbeat takes a heartbeat or a hello.
func (h *peerHandler) HandleHeartbeat(b *schema.Heartbeat) {
	n := (*Node)(h)
	if n.view.heard(b) {
		n.log.WithField("peer", b.Vm).WithField("leaving", b.Leaving).Info("peer_heard")
	}
	n.sync.ObserveVersions(coord.VMID(b.Vm), b.BundleVersion, b.ListVersion)
}

// ServeCall answers a call, with this VM's versions on every reply.
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
	if r := n.turns.Serve(ctx, c); r != nil {
		return r
	}
	switch body := c.Body.(type) {
	case *schema.Call_Heartbeat:
		(*peerHandler)(n).HandleHeartbeat(body.Heartbeat)
		return emptyReply()
	case *schema.Call_Suspect:
		n.takeSuspicion(body.Suspect)
		return emptyReply()
	case *schema.Call_Release:
		return &schema.Reply{Body: &schema.Reply_Release{Release: &schema.ReleaseReply{
			Released: n.owner.Release(body.Release.Claims),
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

// takeSuspicion takes another VM's notice. A VM that hears itself suspected says
// at once that it is there.
func (n *Node) takeSuspicion(s *schema.SuspectNotice) {
	if s.Vm == n.settings.Vm.Id {
		n.tellAll(&schema.Call{Body: &schema.Call_Heartbeat{Heartbeat: n.heartbeat()}})
		return
	}
	if n.view.suspected(coord.VMID(s.Vm), s.Incarnation) {
		n.metrics.Suspects.Add(1)
		n.log.WithField("peer", s.Vm).WithField("reporter", s.Reporter).Warn("peer_suspect")
	}
}

// tellAll sends a call to every other listed VM without waiting.
func (n *Node) tellAll(c *schema.Call) {
	for _, vm := range n.view.Others() {
		go n.tell(vm, c)
	}
}

func (n *Node) tell(vm coord.VMID, c *schema.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	_, _ = n.mesh.Call(ctx, vm, c)
}
