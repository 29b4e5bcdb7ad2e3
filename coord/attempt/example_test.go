package attempt_test

import (
	"fmt"

	"github.com/junctionfold/junctionfold/coord/attempt"
)

func ExampleAttempt() {
	var a attempt.Attempt
	a.MaybeSent()      // before the first byte can leave the process
	a.ConnectionLost() // the connection failed
	fmt.Println(a.Outcome(), a.MayRetry(false), a.MayRetry(true))
	// Output: unknown false true
}
