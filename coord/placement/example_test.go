package placement_test

import (
	"fmt"
	"time"

	"github.com/junctionfold/junctionfold/coord/placement"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
)

func ExampleScheduler() {
	m := placement.NewMap([]placement.Target{
		{ID: "llm-1", Base: "base-8b", Zone: "glostrup-hal", Batch: 8},
		{ID: "llm-2", Base: "base-8b", Zone: "koege-hal", Batch: 8},
	})
	loads := placement.NewLoadTracker(placement.DefaultLoadTrackerConfig())
	q := placement.Query{
		Key: rendezvous.Hash("plough-notes@v1"), Zones: m.ZoneMask([]string{"koege-hal"}),
		Spread: 1, Now: time.Unix(0, 0),
	}
	fmt.Println(placement.DefaultScheduler().Pick(m.Pool("base-8b"), loads, &q).Target)
	// Output: llm-2
}
