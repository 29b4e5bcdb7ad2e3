package edge

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/junctionfold/junctionfold/coord/retry"
	"github.com/junctionfold/junctionfold/schema"
)

// Reload applies changed settings. Seeds and the retry allowance take effect at once; all other
// changes need a restart, and the log names their sections.
func (n *Node) Reload(s *schema.EdgeSettings) {
	n.mu.Lock()
	old := n.activeSettings
	merged := proto.Clone(old).(*schema.EdgeSettings)
	merged.Listen.Seeds = s.Listen.Seeds
	merged.Retry = s.Retry
	n.activeSettings = merged
	n.roster.SetSeeds(s.Listen.Seeds)
	n.mu.Unlock()
	var applied []string
	if !slices.Equal(old.Listen.Seeds, s.Listen.Seeds) {
		applied = append(applied, "listen.seeds")
	}
	if !proto.Equal(old.Retry, s.Retry) {
		n.gateway.SetRetry(retry.Config{Ratio: s.Retry.Ratio, Slack: s.Retry.Slack})
		applied = append(applied, "retry")
	}
	n.log.SettingsReloaded(applied, sectionsNeedingRestart(merged, s))
}

// sectionsNeedingRestart returns the names of the sections in which s differs from the active
// settings.
func sectionsNeedingRestart(active, s *schema.EdgeSettings) []string {
	var out []string
	for _, section := range []struct {
		name string
		a, b proto.Message
	}{
		{"vm", active.Vm, s.Vm}, {"listen", active.Listen, s.Listen}, {"store", active.Store, s.Store},
		{"times", active.Times, s.Times}, {"quota", active.Quota, s.Quota}, {"orders", active.Orders, s.Orders}, {"log", active.Log, s.Log},
	} {
		if !proto.Equal(section.a, section.b) {
			out = append(out, section.name)
		}
	}
	return out
}
