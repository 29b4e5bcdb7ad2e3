package loadpermit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/loadpermit"
)

var start = time.Unix(100, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestPermitsFollowPriorityAndRate checks that permits are granted by priority, one at a
// time and within the rate, and that a permit that is not returned is revoked.
func TestPermitsFollowPriorityAndRate(t *testing.T) {
	issuer := loadpermit.New(loadpermit.Config{PerSecond: 4, Concurrent: 1, MaxHoldTime: 2 * time.Second})
	assert.DeepEqual(t, issuer.Request(at(0), loadpermit.Request{ID: 1, Priority: 1}), []uint64{1})
	assert.Equal(t, len(issuer.Request(at(0), loadpermit.Request{ID: 2, Priority: 1})), 0)
	assert.Equal(t, len(issuer.Request(at(0), loadpermit.Request{ID: 3, Priority: 5})), 0)
	assert.Equal(t, len(issuer.Cancel(at(100), 1)), 0) // 250 ms between permits
	assert.DeepEqual(t, issuer.Tick(at(250)), []uint64{3})
	assert.Equal(t, len(issuer.Tick(at(1000))), 0)
	assert.DeepEqual(t, issuer.Tick(at(2250)), []uint64{2})
}

func TestCancelledRequestGetsNoPermit(t *testing.T) {
	issuer := loadpermit.New(loadpermit.Config{PerSecond: 4, Concurrent: 1, MaxHoldTime: time.Second})
	issuer.Request(at(0), loadpermit.Request{ID: 1})
	issuer.Request(at(0), loadpermit.Request{ID: 2})
	issuer.Cancel(at(0), 2)
	assert.Equal(t, len(issuer.Cancel(at(500), 1)), 0)
}
