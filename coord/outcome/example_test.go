package outcome_test

import (
	"fmt"
	"time"

	"github.com/junctionfold/junctionfold/coord/outcome"
)

func ExampleQuorum() {
	now := time.Unix(0, 0)
	first, second := outcome.NewTable(limits), outcome.NewTable(limits)
	begin := func(run string) outcome.Decision {
		q := outcome.NewQuorum(now, outcome.ReplicationFactor)
		for _, t := range []*outcome.Table{first, second} {
			result, record := t.Begin(now, "order-7", run, nil)
			q.RecordVote(now, outcome.Vote{Result: result, Authoritative: true, Record: record})
		}
		return q.RecordNoResponse() // the third holder cannot be reached
	}
	fmt.Println(begin("try-1") == outcome.Run)
	fmt.Println(begin("try-2") == outcome.AwaitRun) // the first run is still open
	for _, t := range []*outcome.Table{first, second} {
		t.Finish(now, "order-7", "try-1", outcome.Done, []byte("ticket 12"))
	}
	fmt.Println(begin("try-2") == outcome.Answer)
	// Output:
	// true
	// true
	// true
}

var limits = outcome.Config{Retention: time.Minute, MaxBytes: 1 << 20}
