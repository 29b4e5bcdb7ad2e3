package loadpermit_test

import (
	"fmt"
	"time"

	"github.com/junctionfold/junctionfold/coord/loadpermit"
)

func ExampleIssuer() {
	now := time.Unix(0, 0)
	g := loadpermit.New(loadpermit.Config{PerSecond: 3, Concurrent: 1, MaxHoldTime: 5 * time.Second})
	fmt.Println(g.Request(now, loadpermit.Request{ID: 1, Priority: 1}))
	g.Request(now, loadpermit.Request{ID: 2, Priority: 1})
	g.Request(now, loadpermit.Request{ID: 3, Priority: 9})
	fmt.Println(g.Cancel(now.Add(time.Second), 1)) // 1 is done; 3 is worth most
	// Output:
	// [1]
	// [3]
}
