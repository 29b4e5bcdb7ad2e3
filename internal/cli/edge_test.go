package cli

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestProcessorsFollowTheCoresOfTheVM guards against a VM without a processor, and against threads that a
// VM of less than a core cannot use.
func TestProcessorsFollowTheCoresOfTheVM(t *testing.T) {
	for _, row := range []struct {
		cores         float64
		machine, want int
	}{{0.144, 8, 1}, {0.8, 8, 1}, {1, 8, 1}, {1.5, 8, 2}, {64, 8, 8}, {0, 8, 1}} {
		assert.Equal(t, processors(row.cores, row.machine), row.want, "%v", row)
	}
}
