package edge

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/origin"
	"github.com/junctionfold/junctionfold/coord/roster"
)

// TestOriginsAreHeldInEveryZone guards against records that are lost with the VM or the zone that began
// the stream, and against sessions from every VM of a large fleet to every other.
func TestOriginsAreHeldInEveryZone(t *testing.T) {
	fleetOf := func(vms int) (live []roster.Entry) {
		for i := range vms {
			live = append(live, roster.Entry{ID: coord.VMID(fmt.Sprintf("vm-%d", i)), Zone: fmt.Sprintf("z%d", i%3)})
		}
		return live
	}
	for vms, want := range map[int]int{1: 0, 2: 1, 3: 2, 7: originCopies, 90: zoneOriginCopies + 2} {
		live := fleetOf(vms)
		holders := selectOriginHolders("vm-0", "z0", live)
		assert.Equal(t, len(holders), want, "%d VMs", vms)
		assert.Assert(t, !slices.Contains(holders, "vm-0"))
		if vms < largeFleetSize {
			continue
		}
		perZone := map[string]int{}
		for _, e := range live {
			if slices.Contains(holders, e.ID) {
				perZone[e.Zone]++
			}
		}
		assert.DeepEqual(t, perZone, map[string]int{"z0": zoneOriginCopies, "z1": 1, "z2": 1})
		again := selectOriginHolders("vm-0", "z0", live)
		slices.Sort(again)
		slices.Sort(holders)
		assert.DeepEqual(t, again, holders)
	}
}

// TestOriginsSurviveTheirMessage checks that a message holds each record once, with the time left.
func TestOriginsSurviveTheirMessage(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var sent []origin.Record
	for i, o := range []origin.Origin{{Service: "a", SoftwareVersion: "v1"}, {Service: "a", SoftwareVersion: "v2"}, {Service: "a", SoftwareVersion: "v1"}, {Service: "b", SoftwareVersion: "v1"}} {
		sent = append(sent, origin.Record{Attempt: origin.Attempt(i + 1), Origin: o, ExpiresAt: now.Add(time.Duration(i) * time.Second)})
	}
	m := originsToProto(now, sent)
	assert.Equal(t, len(m.Groups), 3)
	later := now.Add(time.Minute) // the clock of the recipient
	got := originsFromProto(later, m)
	slices.SortFunc(got, func(a, b origin.Record) int { return int(a.Attempt) - int(b.Attempt) })
	for i := range sent {
		sent[i].ExpiresAt = sent[i].ExpiresAt.Add(time.Minute)
	}
	assert.DeepEqual(t, got, sent)
}
