package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/junctionfold/junctionfold/coord/quarantine"
)

// TestVMsWithoutLeaderLearnOfRecurringCrash guards against VMs that decide without a leader and send a
// content on although targets have crashed under it at several other VMs, each of which knows of one.
// Only some VMs may lead, and only these were sent findings of one crash.
func TestVMsWithoutLeaderLearnOfRecurringCrash(t *testing.T) {
	large, a, b, c := startPeer(t, "large", 1), startPeer(t, "a", 0.2), startPeer(t, "b", 0.2), startPeer(t, "c", 0.2)
	vms := []*Node{large, a, b, c}
	for _, n := range vms {
		for _, other := range vms {
			n.mergeRoster(other.fullRoster())
		}
	}
	crashing, beside := quarantine.Digest{1}, quarantine.Digest{2}
	a.quarantine.publish([]quarantine.Finding{{Digest: crashing, Targets: []string{"t1"}}, {Digest: beside, Targets: []string{"t1"}}})
	b.quarantine.publish([]quarantine.Finding{{Digest: crashing, Targets: []string{"t2"}}})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if reason, _ := c.quarantine.checkWithoutLeader(crashing, nil); reason == "" {
			return poll.Continue("c would send the crashing content")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	reason, _ := c.quarantine.checkWithoutLeader(beside, nil)
	assert.Equal(t, reason, "", "content that ran beside one crash must not be refused elsewhere")
}
