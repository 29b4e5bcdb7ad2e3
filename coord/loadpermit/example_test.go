package loadpermit_test

import (
	"fmt"
	"time"

	"github.com/junctionfold/junctionfold/coord/loadpermit"
)

func ExampleIssuer() {
	now := time.Unix(0, 0)
	issuer := loadpermit.New(loadpermit.Config{PerSecond: 3, Concurrent: 1, MaxHoldTime: 5 * time.Second})
	fmt.Println(issuer.Request(now, loadpermit.Request{ID: 1, Priority: 1}))
	issuer.Request(now, loadpermit.Request{ID: 2, Priority: 1})
	issuer.Request(now, loadpermit.Request{ID: 3, Priority: 9})
	fmt.Println(issuer.Cancel(now.Add(time.Second), 1)) // 1 has finished; 3 has the highest priority
	// Output:
	// [1]
	// [3]
}
