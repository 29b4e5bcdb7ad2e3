package edge

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/schema"
)

// TestTicketsExceedIncarnationAfterClockStepBack guards against tickets below the incarnation that
// other VMs remember, after a restart with a clock that stepped back: other VMs attribute such
// tickets to the previous process.
func TestTicketsExceedIncarnationAfterClockStepBack(t *testing.T) {
	n, _ := disconnectedNode(t)
	n.tickets.Store(1000)
	n.mergeRoster(&schema.Roster{Entries: []*schema.RosterEntry{{Vm: "a", Incarnation: 5000, Beat: 7}}})
	ticket := n.tickets.Add(1)
	assert.Assert(t, ticket > n.roster.Self().Incarnation, "ticket %d, incarnation %d", ticket, n.roster.Self().Incarnation)
}
