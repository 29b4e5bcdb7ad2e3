package quarantine

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
)

// fleetRequest is a request of one of several VMs.
type fleetRequest struct {
	vm      coord.VMID
	content int
	target  string
}

func (r fleetRequest) key() Key {
	return Key{VM: r.vm, Ticket: uint64(100*r.content) + uint64(r.target[0])}
}

// send starts requests that need no permission.
func send(table *Table, ms int, requests ...fleetRequest) {
	for _, r := range requests {
		table.RequestStarted(at(ms), r.key(), digest(r.content), r.target, at(ms).Add(deadline))
	}
}

func disconnect(table *Table, ms int, requests ...fleetRequest) {
	for _, r := range requests {
		table.RequestEnded(at(ms), r.key(), false, true)
	}
}

func succeed(table *Table, ms int, requests ...fleetRequest) {
	for _, r := range requests {
		table.RequestEnded(at(ms), r.key(), true, false)
	}
}

// TestDisconnectsOfCutVMAreNoCrashes guards against harmless contents that become suspect because a
// VM lost its connections to targets that go on.
func TestDisconnectsOfCutVMAreNoCrashes(t *testing.T) {
	table := New()
	broken := []fleetRequest{{"cut", 0, "a"}, {"cut", 1, "a"}, {"cut", 2, "b"}, {"cut", 3, "b"}, {"cut", 4, "c"}, {"cut", 0, "c"}}
	send(table, 0, broken...)
	send(table, 0, fleetRequest{"vm", 10, "a"}, fleetRequest{"vm", 11, "b"})
	disconnect(table, 100, broken...)
	assert.Equal(t, len(table.Tick(at(100).Add(crashSettleTime))), 0)
	assert.Equal(t, len(table.Findings(at(500))), 0)
	for content := range 5 {
		reason, _ := table.Check(at(500), Key{VM: "vm", Ticket: uint64(1000 + content)}, digest(content))
		assert.Equal(t, reason, "")
	}
}

// TestFindingsOfCutVMAreWithdrawn guards against contents that stay suspect or blocked after another
// VM has shown that the targets go on.
func TestFindingsOfCutVMAreWithdrawn(t *testing.T) {
	table := New()
	good := fleetRequest{"cut", 9, "d"}
	send(table, 0, good)
	succeed(table, 10, good)
	for i, target := range []string{"a", "b", "c"} { // one content is sent again and again
		r := []fleetRequest{{"cut", 0, target}, {"cut", 1 + i, target}, {"cut", 9, target}}
		ms := 1000 * (i + 1)
		send(table, ms, r...)
		disconnect(table, ms+10, r...)
		table.Tick(at(ms + 10).Add(crashSettleTime))
	}
	reason, _ := table.Check(at(4000), Key{VM: "vm", Ticket: 1}, digest(0))
	assert.Equal(t, reason, ReasonBlocked, "no other VM is heard of")
	proof := fleetRequest{"vm", 20, "b"}
	send(table, 4000, proof)
	succeed(table, 4100, proof)
	assert.Equal(t, len(table.Findings(at(4200))), 0)
	for _, content := range []int{0, 1, 2, 3, 9} {
		for ticket := range uint64(2) {
			key := Key{VM: "vm", Ticket: 100*ticket + uint64(content)}
			reason, _ := table.Check(at(4200), key, digest(content))
			assert.Equal(t, reason, "", "content %d", content)
			table.RequestStarted(at(4200), key, digest(content), "d", at(5000))
		}
	}
}

// TestWithdrawalKeepsEarlierEvidence guards against crashing content that is released because one of
// its crashes was none.
func TestWithdrawalKeepsEarlierEvidence(t *testing.T) {
	table := New()
	first := []fleetRequest{{"vm1", 0, "a"}, {"vm2", 1, "a"}}
	send(table, 0, first...)
	disconnect(table, 10, first...)
	table.Tick(at(10).Add(crashSettleTime))
	for i, target := range []string{"b", "c"} {
		r := fleetRequest{"cut", 0, target}
		send(table, 1000*(i+1), r)
		disconnect(table, 1000*(i+1)+10, r)
		table.Tick(at(1000*(i+1) + 10).Add(crashSettleTime))
	}
	reason, _ := table.Check(at(3000), Key{VM: "vm1", Ticket: 1}, digest(0))
	assert.Equal(t, reason, ReasonBlocked)
	proof := fleetRequest{"vm2", 20, "b"}
	send(table, 3000, proof)
	succeed(table, 3100, proof)
	found := table.Findings(at(3200))
	assert.Equal(t, len(found), 2, "the contents of the first crash")
	for _, f := range found {
		assert.DeepEqual(t, f.Targets, []string{"a"})
		assert.Equal(t, f.BlockedFor.Nanoseconds(), int64(0))
	}
}

// TestCrashesThatAllVMsSeeAreEvidence guards against crashing contents that are put down to the VMs.
func TestCrashesThatAllVMsSeeAreEvidence(t *testing.T) {
	for name, beside := range map[string][]fleetRequest{
		"one VM":  {{"vm1", 1, "a"}, {"vm1", 2, "b"}},
		"two VMs": {{"vm2", 1, "a"}, {"vm2", 2, "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			table := New()
			other := fleetRequest{"vm3", 3, "c"}
			broken := append([]fleetRequest{{"vm1", 0, "a"}, {"vm1", 4, "b"}}, beside...)
			send(table, 0, other)
			send(table, 0, broken...)
			disconnect(table, 10, broken...)
			succeed(table, 20, other)
			assert.Equal(t, len(table.Tick(at(10).Add(crashSettleTime))), 4)
			assert.Equal(t, len(table.Findings(at(400))), 4)
		})
	}
}
