package edge

import (
	"github.com/junctionfold/junctionfold/coord/fairshare"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// teamWeights returns the weights by which teams share service while requests wait: the rates of their
// quotas. It returns none if some quotas charge tokens and others requests: their rates cannot be compared,
// and all teams have the same weight.
func teamWeights(c *fleet.Config) map[string]float64 {
	weights := map[string]float64{}
	if c.Teams == nil {
		return weights
	}
	chargeTokens := map[bool]bool{}
	for _, t := range c.Teams.All {
		if t.Quota.PerSecond > 0 {
			weights[t.Name] = t.Quota.PerSecond
			chargeTokens[t.Quota.ChargeTokens] = true
		}
	}
	if len(chargeTokens) > 1 {
		return nil
	}
	return weights
}

// teamUsage returns what teams were served at this VM's queues and schedulers, by service.
func (n *Node) teamUsage() map[string][]fairshare.Usage {
	out := map[string][]fairshare.Usage{}
	n.queues.addUsage(out)
	n.schedulers.addUsage(out)
	return out
}

// addUsage adds the usage by team of each plain service.
func (qs *queues) addUsage(out map[string][]fairshare.Usage) {
	now := qs.node.now()
	qs.mu.Lock()
	defer qs.mu.Unlock()
	for name, sq := range qs.services {
		out[name] = sq.queue.Usage(now)
	}
}

// addUsage adds the usage by team of each service with engines.
func (ss *schedulers) addUsage(out map[string][]fairshare.Usage) {
	now := ss.node.now()
	ss.mu.Lock()
	defer ss.mu.Unlock()
	for name, sc := range ss.services {
		out[name] = sc.scheduler.TeamUsage(now)
	}
}
