package outcome_test

import (
	"fmt"
	"time"

	"github.com/junctionfold/junctionfold/coord/outcome"
)

func ExampleQuorum() {
	now := time.Unix(0, 0)
	first, second := outcome.NewTable(limits), outcome.NewTable(limits)
	ask := func(run string) outcome.Decision {
		q := outcome.NewQuorum(now, outcome.ReplicationFactor)
		for _, t := range []*outcome.Table{first, second} {
			verdict, record := t.Begin(now, "order-7", run, nil)
			q.RecordVote(now, outcome.Vote{Result: verdict, Authoritative: true, Record: record})
		}
		return q.RecordNoResponse() // the third cannot be reached
	}
	fmt.Println(ask("try-1") == outcome.Run)
	fmt.Println(ask("try-2") == outcome.AwaitRun) // the first is open
	for _, t := range []*outcome.Table{first, second} {
		t.Finish(now, "order-7", "try-1", outcome.Done, []byte("ticket 12"))
	}
	fmt.Println(ask("try-2") == outcome.Answer)
	// Output:
	// true
	// true
	// true
}

var limits = outcome.Config{Retention: time.Minute, MaxBytes: 1 << 20}
