package loadpermit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/loadpermit"
)

var start = time.Unix(100, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestTurns hands out turns by value, one at a time and at the store's rate, and
// takes back one that was lost.
func TestTurns(t *testing.T) {
	g := loadpermit.New(loadpermit.Config{PerSecond: 4, Concurrent: 1, MaxHoldTime: 2 * time.Second})
	assert.DeepEqual(t, g.Request(at(0), loadpermit.Request{ID: 1, Priority: 1}), []uint64{1})
	assert.Equal(t, len(g.Request(at(0), loadpermit.Request{ID: 2, Priority: 1})), 0)
	assert.Equal(t, len(g.Request(at(0), loadpermit.Request{ID: 3, Priority: 5})), 0)
	assert.Equal(t, len(g.Cancel(at(100), 1)), 0) // 250 ms between turns
	assert.DeepEqual(t, g.Tick(at(250)), []uint64{3})
	assert.Equal(t, len(g.Tick(at(1000))), 0)
	assert.DeepEqual(t, g.Tick(at(2250)), []uint64{2})
}

func TestCancelledAskGetsNoTurn(t *testing.T) {
	g := loadpermit.New(loadpermit.Config{PerSecond: 4, Concurrent: 1, MaxHoldTime: time.Second})
	g.Request(at(0), loadpermit.Request{ID: 1})
	g.Request(at(0), loadpermit.Request{ID: 2})
	g.Cancel(at(0), 2)
	assert.Equal(t, len(g.Cancel(at(500), 1)), 0)
}
