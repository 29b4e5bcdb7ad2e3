package node

import (
	"github.com/junctionfold/junctionfold/coord/membership"
	"github.com/junctionfold/junctionfold/internal/catalog"
	"github.com/junctionfold/junctionfold/schema"
)

// Status returns the VM's state for operators.
func (n *Node) Status() *schema.Status {
	b, l := n.sync.Versions()
	out := &schema.Status{
		Vm: n.settings.Vm.Id, Hall: n.settings.Vm.Hall, Ready: n.Ready(),
		BundleVersion: b, ListVersion: l, Targets: n.owner.Status(),
	}
	for _, m := range n.view.members() {
		out.Peers = append(out.Peers, peerStatus(m))
	}
	return out
}

func peerStatus(m *membership.Member) *schema.PeerStatus {
	return &schema.PeerStatus{Vm: string(m.ID), Hall: m.Zone, State: m.State.String()}
}

func (n *Node) publishGauges() {
	n.metrics.Gauge("open_requests", func() int64 { return int64(n.frontEnd.OpenRequests()) })
	n.metrics.Gauge("peer_sessions", func() int64 { return int64(n.mesh.Sessions()) })
	n.metrics.Gauge("peer_bytes_in_total", func() int64 { in, _ := n.mesh.Bytes(); return in })
	n.metrics.Gauge("peer_bytes_out_total", func() int64 { _, out := n.mesh.Bytes(); return out })
	n.metrics.Gauge("outcome_records", func() int64 { c, _, _ := n.records.Stats(); return int64(c) })
	n.metrics.Gauge("outcome_bytes", func() int64 { _, b, _ := n.records.Stats(); return int64(b) })
	n.metrics.Gauge("outcome_settled", func() int64 {
		if _, _, settled := n.records.Stats(); settled {
			return 1
		}
		return 0
	})
}

// RecordsSynced reports whether this VM has the outcome records of all others.
func (n *Node) RecordsSynced() bool {
	_, _, settled := n.records.Stats()
	return settled
}

// BundlesRefused returns how many bundles this VM rejected.
func (n *Node) BundlesRefused() int64 { return n.metrics.BundlesRefused.Value() }

// PeerTraffic returns the bytes read and written on all peer sessions so far, and the number of
// open sessions.
func (n *Node) PeerTraffic() (in, out int64, sessions int) {
	in, out = n.mesh.Bytes()
	return in, out, n.mesh.Sessions()
}

// PlatformReads returns how many calls this VM has made to the platform.
func (n *Node) PlatformReads() int64 { return n.metrics.PlatformReads.Value() }

// Explain returns the candidates and the chosen target for a request to a model, with reasons; nil
// if the bundle does not contain the model.
func (n *Node) Explain(model string) *schema.Explanation {
	m, kind := n.router.Catalog().Resolve(model)
	if kind != catalog.OK {
		return nil
	}
	return n.router.Explain(m)
}
