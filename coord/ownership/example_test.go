package ownership_test

import (
	"fmt"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/ownership"
)

func ExampleMachine() {
	now := time.Unix(0, 0)
	m := ownership.New("vm-a", 1)
	m.SetDesired(now, true, []coord.VMID{"vm-a", "vm-b"})                    // the view makes this VM the owner
	m.HandleReport(now, ownership.Report{FencingToken: 7})                   // the target's report, with the highest token that it accepted
	acts := m.HandleClaimAccepted(now, m.FencingToken(), ownership.Report{}) // the target accepted the claim
	fmt.Println(m.Phase(), acts[1].All, m.Holds())                           // everything is held for vm-b
	acts = m.HandleRelease("vm-b", m.FencingToken(), []string{"adapter@v1"}) // vm-b still runs one request
	fmt.Println(acts[0].All, acts[0].Names)
	// Output:
	// serving true [vm-b]
	// false [adapter@v1]
}
