package edge

import (
	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/gateway"
	"github.com/junctionfold/junctionfold/schema"
)

// handleNotice applies the notice that a target sent beside an answer to this VM. d is the decision
// under which the answered request was sent; nil if it is unknown or there was none.
func (n *Node) handleNotice(target string, notice fleet.Notice, d *gateway.Decision) {
	if notice.Backoff > 0 && n.gateway.RecordBackoff(target, notice.Backoff) {
		n.log.TargetNotice(target, notice.Leaving, notice.Backoff)
	}
	n.rateLimits.observeAnswer(target, notice.RateLimit, d)
	n.rejectionLimits.observeAnswer(target, notice.RejectionLimit, d)
	if notice.Leaving && n.feed.MarkLeaving(target) {
		n.log.TargetNotice(target, notice.Leaving, notice.Backoff)
		for _, vm := range n.livePeers() {
			go n.sendLeavingTargets(vm, []string{target})
		}
	}
}

// sendLeavingTargets sends a VM the targets that announced that they leave. Otherwise it would
// learn of each only by a request of its own to the target.
func (n *Node) sendLeavingTargets(vm coord.VMID, targets []string) {
	if len(targets) > 0 {
		n.notify(vm, &schema.Call{Body: &schema.Call_Leaving{Leaving: &schema.LeavingTargets{Targets: targets}}})
	}
}

// handleLeavingTargets applies the leaving targets that another VM sent.
func (n *Node) handleLeavingTargets(m *schema.LeavingTargets) {
	for _, target := range m.Targets {
		n.feed.MarkLeaving(target)
	}
}
