package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/gateway"
)

// TestReportOfRunningRequestsIsNotChangedByTheNext guards against a report that is changed while it is
// sent: leaders may follow each other quickly.
func TestReportOfRunningRequestsIsNotChangedByTheNext(t *testing.T) {
	now := time.Unix(0, 0)
	r := newRunningRequests(func() time.Time { return now })
	r.add(&gateway.AdmitRequest{Request: &fleet.Request{}, Deadline: now.Add(5 * time.Second)}, gateway.Decision{Ticket: 1})
	first := r.message()
	now = now.Add(time.Second)
	second := r.message()
	assert.Equal(t, first.Grants[0].LeftMs, int64(5000))
	assert.Equal(t, second.Grants[0].LeftMs, int64(4000))
}
