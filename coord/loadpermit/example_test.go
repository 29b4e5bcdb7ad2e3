package loadpermit_test

import (
	"fmt"
	"time"

	"github.com/junctionfold/junctionfold/coord/loadpermit"
)

func ExampleGiver() {
	now := time.Unix(0, 0)
	g := loadpermit.New(loadpermit.Config{PerSecond: 3, Concurrent: 1, Hold: 5 * time.Second})
	fmt.Println(g.Ask(now, loadpermit.Ask{ID: 1, Value: 1}))
	g.Ask(now, loadpermit.Ask{ID: 2, Value: 1})
	g.Ask(now, loadpermit.Ask{ID: 3, Value: 9})
	fmt.Println(g.Cancel(now.Add(time.Second), 1)) // 1 is done; 3 is worth most
	// Output:
	// [1]
	// [3]
}
