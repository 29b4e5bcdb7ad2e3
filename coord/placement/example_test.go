package placement_test

import (
	"fmt"
	"time"

	"github.com/junctionfold/junctionfold/coord/placement"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
)

func ExampleScheduler() {
	m := placement.NewMap([]placement.Target{
		{ID: "llm-1", Base: "base-8b", Hall: "glostrup-hal", Batch: 8},
		{ID: "llm-2", Base: "base-8b", Hall: "koege-hal", Batch: 8},
	})
	board := placement.NewBoard(placement.DefaultBoardConfig())
	q := placement.Query{
		Key: rendezvous.Hash("plough-notes@v1"), Halls: m.HallMask([]string{"koege-hal"}),
		Spread: 1, Now: time.Unix(0, 0),
	}
	fmt.Println(placement.Default().Pick(m.Pool("base-8b"), board, &q).Target)
	// Output: llm-2
}
