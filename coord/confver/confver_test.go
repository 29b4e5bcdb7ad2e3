package confver_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/confver"
)

func ExampleTracker() {
	var g confver.Tracker
	fmt.Println(g.Accept(4), g.Accept(3), g.Behind(5))
	// Output: true false true
}

// TestVersionsNeverGoBack gives each order in which versions can come.
func TestVersionsNeverGoBack(t *testing.T) {
	for _, row := range []struct {
		name   string
		accept []uint64
		want   uint64
	}{
		{"up", []uint64{1, 2, 5}, 5},
		{"back", []uint64{5, 4}, 5},
		{"the same again", []uint64{5, 5}, 5},
		{"none", nil, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			var g confver.Tracker
			for _, v := range row.accept {
				g.Accept(v)
			}
			assert.Equal(t, g.InForce(), row.want)
			assert.Assert(t, g.Behind(row.want+1) && !g.Behind(row.want))
		})
	}
}
