package confver_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/confver"
)

func ExampleTracker() {
	var tracker confver.Tracker
	fmt.Println(tracker.Accept(4), tracker.Accept(3), tracker.Behind(5))
	// Output: true false true
}

// TestVersionNeverDecreases checks the version in force after sequences of increasing,
// decreasing and repeated versions.
func TestVersionNeverDecreases(t *testing.T) {
	for _, row := range []struct {
		name     string
		accepted []uint64
		want     uint64
	}{
		{"increasing", []uint64{1, 2, 5}, 5},
		{"decreasing", []uint64{5, 4}, 5},
		{"repeated", []uint64{5, 5}, 5},
		{"none", nil, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			var tracker confver.Tracker
			for _, v := range row.accepted {
				tracker.Accept(v)
			}
			assert.Equal(t, tracker.InForce(), row.want)
			assert.Assert(t, tracker.Behind(row.want+1) && !tracker.Behind(row.want))
		})
	}
}
