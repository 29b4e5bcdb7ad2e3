package membership_test

import (
	"fmt"
	"time"

	"github.com/junctionfold/junctionfold/coord/membership"
)

func ExampleTracker() {
	now := time.Unix(0, 0)
	t := membership.New(membership.Config{Self: "a", SuspectAfter: 1500 * time.Millisecond, Monitors: 3})
	t.ApplyList(now, 1, []membership.ListedVM{{ID: "a"}, {ID: "b"}})
	for range 4 { // no heartbeat of b arrives
		now = now.Add(500 * time.Millisecond)
		for _, m := range t.Tick(now) {
			fmt.Println(m.ID, m.State)
		}
	}
	t.HandleHeartbeat(now, "b", 1, false)
	fmt.Println("b", t.Member("b").State)
	// Output:
	// b suspect
	// b live
}
