package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// announceSoftware announces targets t0, t1 and so on with the given software versions.
func (h *harness) announceSoftware(versions ...string) {
	var listed []AnnouncedTarget
	for i, v := range versions {
		listed = append(listed, AnnouncedTarget{ID: fmt.Sprintf("t%d", i), Ready: true, SoftwareVersion: v, Resident: []ResidentItem{{Ref: base}}})
	}
	h.collect(h.s.SetTargets(h.now, listed))
}

// TestContinuedStreamIsPlacedAtOtherSoftwareVersion guards against continuations at the target that
// holds the adapter but runs another software version: the adapter is loaded at one that runs it.
func TestContinuedStreamIsPlacedAtOtherSoftwareVersion(t *testing.T) {
	h := newHarness(t, config(4), []string{"x"}, nil, nil)
	h.announceSoftware("v1", "v2", "")
	h.submitTo("v2", "x")
	load := h.expectActions(ActLoad)[0]
	assert.Equal(t, load.Target, "t1")
	h.answerOrder(load, OrderAccepted)
	h.advance(2 * initialColdLoadTime)
	assert.Equal(t, h.expectActions(ActGrant)[0].Target, "t1")
	h.submitTo("v1", "x")
	assert.Equal(t, h.expectActions(ActGrant)[0].Target, "t0")
}

// TestContinuedStreamBlocksNewRequests guards against requests that wait behind one for the same adapter
// whose software version has no capacity.
func TestContinuedStreamBlocksNewRequests(t *testing.T) {
	h := newHarness(t, config(4), nil, nil)
	h.announceSoftware("v1", "v2")
	h.submitTo("v2", "x") // its load takes longer
	continued := h.submitTo("v1", "x")
	loads := h.expectActions(ActLoad, ActLoad)
	assert.Equal(t, loads[1].Target, "t0")
	fresh := h.submit("x")
	h.answerOrder(loads[1], OrderAccepted)
	h.advance(maxOrderLatency / 2)
	h.answerOrder(loads[0], OrderAccepted)
	h.advance(initialColdLoadTime + loadMargin - maxOrderLatency/2)
	granted := map[Key]string{}
	for _, a := range h.expectActions(ActGrant, ActGrant) {
		granted[a.Key] = a.Target
	}
	assert.DeepEqual(t, granted, map[Key]string{continued: "t0", fresh: "t0"})
}

// TestContinuedStreamWaitsWithoutTargets guards against continuations that wait although no target of
// their software version is left, or none was there.
func TestContinuedStreamWaitsWithoutTargets(t *testing.T) {
	h := newHarness(t, config(4), nil, nil)
	h.announceSoftware("v1", "v2")
	h.submitTo("v3", "x")
	h.expectActions(ActRefuse)
	h.submitTo("v2", "x")
	h.expectActions(ActLoad)
	h.announceSoftware("v1", "v3") // the same target with other software
	h.expectActions(ActRefuse)
}

// TestContinuedStreamIsRefusedAtEjectedTargets guards against continuations that are refused because all
// targets of their software version have failed requests, while new streams begin at other versions. A
// target that cannot be reached gets none.
func TestContinuedStreamIsRefusedAtEjectedTargets(t *testing.T) {
	for _, row := range []struct {
		ending Ending
		want   ActionKind
	}{{EndedDisconnected, ActGrant}, {EndedUnreachable, ActRefuse}} {
		h := newHarness(t, config(4), []string{"x"}, []string{"x"})
		h.announceSoftware("v1", "v2")
		for range ejectAfterFailures {
			k := h.submitTo("v2", "x")
			h.collect(h.s.Done(h.now, k, row.ending))
		}
		h.drain()
		h.submit("x")
		assert.Equal(t, h.expectActions(ActGrant)[0].Target, "t0")
		for range 3 {
			h.submitTo("v2", "x")
			assert.Equal(t, h.expectActions(row.want)[0].Kind, row.want)
		}
	}
}

// TestRestartedTargetContinuesStreams guards against continuations at a target that came back under the
// same id, perhaps with other software, before its new announcement has been read.
func TestRestartedTargetContinuesStreams(t *testing.T) {
	h := newHarness(t, config(4), []string{"x"}, nil)
	h.announceSoftware("v1", "v2")
	report := func(orders uint64) {
		t0 := h.s.targets["t0"]
		t0.requireReportAt(h.now)
		h.advance(reportLag)
		h.sendReport("t0", Report{Resident: []ResidentItem{{Ref: base}, {Ref: ref("x")}}, OrderCount: orders})
		h.drain()
	}
	report(3)
	h.submitTo("v1", "x")
	assert.Equal(t, h.expectActions(ActGrant)[0].SoftwareVersion, "v1")
	report(1)
	h.submitTo("v1", "x")
	h.expectActions(ActRefuse)
	h.submit("x")
	assert.Equal(t, h.expectActions(ActGrant)[0].SoftwareVersion, "", "a new stream's version is not known")
	h.s.ObserveCopy(h.now)
	h.submitTo("v1", "x")
	h.expectActions(ActRefuse)
	h.s.ObserveCopy(h.now.Add(announcementDelay))
	h.submitTo("v1", "x")
	assert.Equal(t, h.expectActions(ActGrant)[0].SoftwareVersion, "v1")
	report(0)
	h.announceSoftware("v3", "v2")
	h.submitTo("v3", "x")
	h.expectActions(ActGrant)
}

// TestRestartAfterOrdersIsUnnoticed guards against a restart that no report shows by itself, because the
// lost orders were accepted after the last one; a report may lag behind an order of just before.
func TestRestartAfterOrdersIsUnnoticed(t *testing.T) {
	for _, row := range []struct {
		lag  time.Duration
		want string
	}{{reportLag, ""}, {0, "v1"}} {
		h := newHarness(t, config(4), []string{"x"})
		h.announceSoftware("v1")
		h.submit("y")
		h.answerOrder(h.expectActions(ActLoad)[0], OrderAccepted)
		h.now = h.now.Add(row.lag)
		h.s.targets["t0"].requireReportAt(h.now)
		h.advance(0)
		h.sendReport("t0", Report{Resident: []ResidentItem{{Ref: base}, {Ref: ref("x")}}})
		assert.Equal(t, h.s.targets["t0"].software(), row.want)
	}
}
