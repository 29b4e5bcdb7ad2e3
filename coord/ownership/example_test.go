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
	m.Want(now, true, []coord.VMID{"vm-a", "vm-b"})              // the view names this VM
	m.Read(now, ownership.Report{Fence: 7})                      // the target's report
	acts := m.Claimed(now, m.Fence(), ownership.Report{})        // it took the claim
	fmt.Println(m.Phase(), acts[1].All, m.Holds())               // all of it is held for vm-b
	acts = m.Released("vm-b", m.Fence(), []string{"adapter@v1"}) // vm-b ends one request
	fmt.Println(acts[0].All, acts[0].Names)
	// Output:
	// serving true [vm-b]
	// false [adapter@v1]
}
