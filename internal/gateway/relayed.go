package gateway

import (
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/hop"
)

// CheckRelayed returns an error if a request that this VM relays for another must not be sent to its
// target, by what this VM knows about the target.
func (g *Gateway) CheckRelayed(target string, p hop.Placement) error {
	g.cfg.CheckSuspension()
	copied := g.cfg.Directory.Revision() // must precede the directory lookup, see targetState
	switch {
	case g.isBackedOff(target):
		return errBackedOff
	case isDrainingOrGone(g.targetState(target, copied, fleet.Revision(p.Revision))):
		return errDraining
	case g.runsOtherSoftware(target, p.SoftwareVersion):
		return errOtherSoftware
	}
	if err := g.checkAdapterVersion(p); err != nil {
		return err
	}
	return g.checkRateLimit(target, p)
}

// runsOtherSoftware reports whether this VM's copy of the store has another software version for a
// target than the copy on which it was chosen. If that one had none, the sender does not rely on it.
func (g *Gateway) runsOtherSoftware(target, chosen string) bool {
	t := g.cfg.Directory.Directory().Targets[target]
	return t != nil && chosen != "" && t.SoftwareVersion != chosen
}

// MaxConnections returns how many connections this VM may open to a target; 0: no limit. known is
// false if this VM does not know the target.
func (g *Gateway) MaxConnections(target string) (limit int, known bool) {
	dir := g.cfg.Directory.Directory()
	t := dir.Targets[target]
	if t == nil || dir.Config == nil || dir.Config.Services[t.Service] == nil {
		return 0, false
	}
	return g.maxConnections(dir.Config.Services[t.Service]), true
}
