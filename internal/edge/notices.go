package edge

import (
	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/gateway"
	"github.com/junctionfold/junctionfold/schema"
)

// targetSaid takes what a target said of itself beside an answer to this VM. v is the verdict on which
// the answered request was sent; nil: it is not known, or was none.
func (n *Node) targetSaid(target string, said fleet.Notice, v *gateway.Decision) {
	if said.Backoff > 0 && n.gateway.RecordBackoff(target, said.Backoff) {
		n.log.TargetNotice(target, said.Leaving, said.Backoff)
	}
	n.rateLimits.heard(target, said.RateLimit, v)
	if said.Leaving && n.feed.MarkLeaving(target) {
		n.log.TargetNotice(target, said.Leaving, said.Backoff)
		for _, vm := range n.others() {
			go n.tellLeaving(vm, []string{target})
		}
	}
}

// tellLeaving tells a VM which targets said that they leave: it would find out by a request of its
// own to each of them.
func (n *Node) tellLeaving(vm coord.VMID, targets []string) {
	if len(targets) > 0 {
		n.tell(vm, &schema.Call{Body: &schema.Call_Leaving{Leaving: &schema.LeavingTargets{Targets: targets}}})
	}
}

// heardLeaving takes what another VM heard.
func (n *Node) heardLeaving(m *schema.LeavingTargets) {
	for _, target := range m.Targets {
		n.feed.MarkLeaving(target)
	}
}
