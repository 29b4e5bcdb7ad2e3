package edge

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/schema"
)

// TestTicketsOfARestartAfterTheTimeOfDayFellBack are taken by others for those of the process before.
func TestTicketsOfARestartAfterTheTimeOfDayFellBack(t *testing.T) {
	n, _ := aloneNode(t)
	n.tickets.Store(1000)
	n.mergeRoster(&schema.Roster{Entries: []*schema.RosterEntry{{Vm: "a", Incarnation: 5000, Beat: 7}}})
	ticket := n.tickets.Add(1)
	assert.Assert(t, ticket > n.roster.Self().Incarnation, "ticket %d, incarnation %d", ticket, n.roster.Self().Incarnation)
}
