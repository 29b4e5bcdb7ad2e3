package edge

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/junctionfold/junctionfold/coord/promptpart"
	"github.com/junctionfold/junctionfold/coord/quarantine"
	"github.com/junctionfold/junctionfold/schema"
)

// Parts of the prompts in these tests. Requests with crashingTestPart crash their targets, routeTestPart is
// that of a whole route.
var (
	crashingTestPart = promptpart.ID{Service: "models", Part: "d1e"}
	routeTestPart    = promptpart.ID{Service: "models", Part: "5a"}
)

// startFleet starts VMs that know each other. The first one has the capacity to lead.
func startFleet(t *testing.T, names ...string) (vms []*Node) {
	t.Helper()
	for i, name := range names {
		capacity := 0.2
		if i == 0 {
			capacity = 1
		}
		vms = append(vms, startPeer(t, name, capacity))
	}
	for _, n := range vms {
		for _, other := range vms {
			n.mergeRoster(other.fullRoster())
		}
	}
	return vms
}

// crashUnderParts records at a VM that a target crashed under a request with both parts, and waits until
// the crash is evaluated.
func (n *Node) crashUnderParts(t *testing.T, ticket uint64, target string) {
	t.Helper()
	content := quarantine.Digest{byte(ticket)}
	parts := []promptpart.ID{routeTestPart, crashingTestPart}
	_, _ = n.quarantine.checkWithoutLeader(content, parts)
	n.quarantine.requestStarted("vm", ticket, content[:], target, 10*time.Second, parts)
	n.quarantine.requestEnded("vm", ticket, schema.Ending_ENDING_BROKE)
	n.waitFor(t, "the crash is evaluated", func() bool {
		n.quarantine.tick()
		n.quarantine.mu.Lock()
		defer n.quarantine.mu.Unlock()
		return n.quarantine.table.Parts().CrashedTargets()[target]
	})
}

// serveWithRoutePart records at a VM that a request with the route's part survived.
func (n *Node) serveWithRoutePart() {
	parts := []promptpart.ID{routeTestPart}
	_, _ = n.quarantine.checkWithoutLeader(quarantine.Digest{99}, parts)
	n.quarantine.survived(n.now(), parts)
}

func (n *Node) waitFor(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", condition)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

// refuses reports whether a VM without a leader refuses a request with the given parts.
func (n *Node) refuses(parts ...promptpart.ID) bool {
	reason, _ := n.quarantine.checkWithoutLeader(quarantine.Digest{77}, parts)
	return reason != ""
}

// TestVMsWithoutLeaderRefuseCrashingPart guards against VMs that decide without a leader and send a prompt
// part on under which targets have crashed at several other VMs, each of which knows of one crash.
func TestVMsWithoutLeaderRefuseCrashingPart(t *testing.T) {
	vms := startFleet(t, "large", "a", "b", "c", "d")
	for _, n := range vms {
		n.serveWithRoutePart()
	}
	for i, n := range vms[1:4] {
		n.crashUnderParts(t, uint64(i+1), fmt.Sprint("t", i))
	}
	idle := vms[4]
	idle.waitFor(t, "the VM that saw no crash refuses the part", func() bool { return idle.refuses(routeTestPart, crashingTestPart) })
	assert.Assert(t, !idle.refuses(routeTestPart), "the route goes on")
}

// TestVMThatStartsLearnsOfBlockedPart guards against a VM that has just started, or was not responsive while
// a prompt part was blocked, and lets targets crash under it again.
func TestVMThatStartsLearnsOfBlockedPart(t *testing.T) {
	leader := startPeer(t, "large", 1)
	leader.serveWithRoutePart()
	for i := range 3 {
		leader.crashUnderParts(t, uint64(i+1), fmt.Sprint("t", i))
	}
	started := startPeer(t, "a", 0.2)
	leader.mergeRoster(started.fullRoster())
	assert.Assert(t, !started.refuses(crashingTestPart))
	leader.quarantine.sendFindingsTo("a")
	started.waitFor(t, "the VM refuses the part", func() bool { return started.refuses(routeTestPart, crashingTestPart) })
	assert.Equal(t, len(started.quarantine.blockedParts()), 1)
	assert.Assert(t, !started.refuses(routeTestPart), "the route goes on")
}

// TestNewLeaderKnowsPartsOfRunningRequests guards against a new leader that does not know which requests with
// a suspect part run under decisions of the earlier one.
func TestNewLeaderKnowsPartsOfRunningRequests(t *testing.T) {
	n := startPeer(t, "large", 1)
	parts := []promptpart.ID{routeTestPart, crashingTestPart}
	content := quarantine.Digest{1}
	n.schedulers.adopt("a", &schema.Running{Grants: []*schema.Grant{{
		Ticket: 1, Service: "models", Target: "t9", LeftMs: 5000, Content: content[:], SharedParts: partNames(parts),
	}}})
	n.crashUnderParts(t, 2, "t1")
	n.quarantine.mu.Lock()
	defer n.quarantine.mu.Unlock()
	allowed, restricted := n.quarantine.table.Parts().AllowedTargets(parts)
	assert.Assert(t, restricted)
	assert.DeepEqual(t, allowed, map[string]bool{"t9": true})
}
