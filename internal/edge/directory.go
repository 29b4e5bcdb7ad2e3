package edge

import (
	"github.com/junctionfold/junctionfold/internal/feed"
)

// onDirectory applies a changed directory to quotas, queues and schedulers, and logs the changes.
func (n *Node) onDirectory(d *feed.Directory) {
	old := n.loggedDirectory
	n.loggedDirectory = d
	n.logConfig(old, d)
	n.logTargets(old, d)
	n.reachability.apply(d)
	n.origins.observe(d)
	n.quotas.apply(d)
	n.queues.apply(d)
	n.schedulers.apply(d)
}

func (n *Node) logConfig(old, d *feed.Directory) {
	var oldVersion uint64
	if old.Config != nil {
		oldVersion = old.Config.Version
	}
	if d.Config != nil && d.Config != old.Config {
		n.log.ConfigAdopted(oldVersion, d.Config.Version, len(d.Config.Routes), len(d.Config.Services), d.Revision)
		n.logTeams(old.Config, d.Config)
	}
}

func (n *Node) logTargets(old, d *feed.Directory) {
	for id, t := range d.Targets {
		oldState := ""
		if oldTarget := old.Targets[id]; oldTarget != nil {
			oldState = oldTarget.State.String()
		}
		if newState := t.State.String(); newState != oldState {
			n.log.TargetChanged(id, t.Service, oldState, newState, d.Revision)
		}
	}
}

func (n *Node) onTargetsRemoved(ids []string) {
	for _, id := range ids {
		n.pool.Forget(id)
		n.log.TargetChanged(id, "", "removed", "gone", n.feed.Revision())
	}
}
