package feed

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/fleet"
)

// decodeIncarnation decodes "N" as a target of incarnation N, "N!" as one that leaves, and "-" as
// one without an incarnation. Any other value counts as written by another writer.
func decodeIncarnation(i fleet.Item) (fleet.Decoded, error) {
	text := string(i.Value)
	t := &fleet.Target{ID: i.Key, Service: "s"}
	if strings.HasSuffix(text, "!") {
		t.State = fleet.TargetDraining
		text = strings.TrimSuffix(text, "!")
	}
	if text == "-" {
		return fleet.Decoded{Target: t}, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return fleet.Decoded{}, errors.Newf("%q was written by another writer", text)
	}
	t.Started = n
	t.ID += "#" + text
	return fleet.Decoded{Target: t}, nil
}

// TestIncarnationsOfOneKey verifies that a later incarnation under a key replaces the previous one
// at once, whatever that one announced last, and that an entry of an earlier incarnation changes
// nothing.
func TestIncarnationsOfOneKey(t *testing.T) {
	for _, row := range []struct {
		name    string
		entries []string // "x": removal
		// want is the id of the target in use, and state its state. dropped are the ids that must
		// receive no more requests.
		want    string
		state   fleet.TargetState
		dropped []string
	}{
		{"restarted", []string{"5", "7"}, "t#7", fleet.TargetReady, []string{"t#5"}},
		{"an older entry arrives late", []string{"7", "5"}, "t#7", fleet.TargetReady, nil},
		{"drained and restarted", []string{"5!", "7"}, "t#7", fleet.TargetReady, []string{"t#5"}},
		{"restarted, and the draining entry arrives late", []string{"7", "5!"}, "t#7", fleet.TargetReady, nil},
		{"removed and restarted", []string{"5", "x", "7"}, "t#7", fleet.TargetReady, []string{"t#5"}},
		{"removed, and an older entry arrives late", []string{"7", "x", "5"}, "t#7", fleet.TargetReady, nil},
		{"restarted twice", []string{"5", "7", "9"}, "t#9", fleet.TargetReady, []string{"t#5", "t#7"}},
		{"the same incarnation again", []string{"5", "5!"}, "t#5", fleet.TargetDraining, nil},
		{"no incarnation announced", []string{"-", "-"}, "t", fleet.TargetReady, nil},
		{"overwritten briefly", []string{"5", "?", "5"}, "t#5", fleet.TargetReady, nil},
		{"overwritten, then restarted", []string{"5", "?", "7"}, "t#7", fleet.TargetReady, []string{"t#5"}},
		{"incarnation missing briefly", []string{"5", "-", "5"}, "t#5", fleet.TargetReady, nil},
		{"draining, then incarnation missing", []string{"5!", "-"}, "t#5", fleet.TargetDraining, nil},
		{"draining, then overwritten", []string{"5!", "?"}, "t#5", fleet.TargetDraining, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			d := newDirectory(decodeIncarnation, 2*time.Second)
			for i, value := range row.entries {
				item := put("t", value, fleet.Revision(i+1))
				item.Deleted = value == "x"
				_ = d.applyItem(start.Add(time.Duration(i)*100*time.Millisecond), item) // fails for a value of another writer
			}
			reported := d.expire(start.Add(time.Second))
			got := d.publish(9)
			assert.Equal(t, len(got.Targets), 1)
			assert.Assert(t, got.Targets[row.want] != nil, "%v", got.Targets)
			assert.Equal(t, got.Targets[row.want].State, row.state)
			assert.Equal(t, len(got.Removed), len(row.dropped))
			for _, id := range row.dropped {
				assert.Assert(t, got.Removed[id], id)
			}
			assert.DeepEqual(t, reported, row.dropped)
		})
	}
}

// TestPersistentForeignEntryDropsTheTarget verifies that a key that another writer keeps
// overwriting is used no longer than a removed one, however often it is written, and that the error
// is reported once.
func TestPersistentForeignEntryDropsTheTarget(t *testing.T) {
	d := newDirectory(decodeIncarnation, 2*time.Second)
	assert.NilError(t, d.applyItem(start, put("t", "5", 1)))
	reported := 0
	for i := range fleet.Revision(20) {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		if d.applyItem(now, put("t", "?", 2+i)) != nil {
			reported++
		}
		d.expire(now)
		assert.Equal(t, d.publish(2 + i).Targets["t#5"] != nil, now.Sub(start) < maxRemovalGrace)
	}
	assert.Equal(t, reported, 1)
	assert.Assert(t, d.publish(30).Removed["t#5"])
	assert.NilError(t, d.applyItem(start.Add(3*time.Second), put("t", "5", 40)))
	assert.Assert(t, d.publish(40).Targets["t#5"] != nil, "the target's own entry must restore it")
	assert.Assert(t, d.applyItem(start.Add(4*time.Second), put("t", "?", 41)) != nil, "a new change must be reported again")
}

// TestReplacedTargetIsReportedAsDropped verifies that the update with a later incarnation closes
// connections to the earlier one and publishes the directory without it.
func TestReplacedTargetIsReportedAsDropped(t *testing.T) {
	x := newFixture()
	x.feed.dir = newDirectory(decodeIncarnation, 2*time.Second)
	x.feed.Apply(Update{Snapshot: true, To: 1, Items: []fleet.Item{put("t", "5", 1)}})
	var dropped []string
	x.feed.cfg.OnRemoved = func(ids []string) { dropped = append(dropped, ids...) }
	x.feed.Apply(Update{From: 1, To: 2, Items: []fleet.Item{put("t", "7", 2)}})
	assert.DeepEqual(t, dropped, []string{"t#5"})
	assert.Assert(t, x.feed.Directory().Removed["t#5"])
	assert.Assert(t, x.feed.Directory().Targets["t#7"] != nil)
	x.feed.Apply(Update{From: 2, To: 3, Items: []fleet.Item{put("t", "?", 3)}})
	assert.Equal(t, x.feed.RejectedItems(), int64(1))
}

// TestUndecodableConfigurationKeepsThePreviousOne verifies that an undecodable configuration
// changes nothing, and that an invalid part of a configuration does not block the rest.
func TestUndecodableConfigurationKeepsThePreviousOne(t *testing.T) {
	next := &fleet.Config{Version: 1, Services: map[string]*fleet.Service{"old": {Name: "old"}}}
	var decodeErr error
	d := newDirectory(func(fleet.Item) (fleet.Decoded, error) {
		if decodeErr != nil {
			return fleet.Decoded{}, decodeErr
		}
		return fleet.Decoded{Config: next}, nil
	}, 2*time.Second)
	assert.NilError(t, d.applyItem(start, put("c", "", 1)))
	decodeErr = errors.New("unreadable")
	assert.ErrorContains(t, d.applyItem(start, put("c", "", 2)), "unreadable")
	assert.Equal(t, d.publish(2).Config.Version, uint64(1))
	decodeErr = nil
	next = &fleet.Config{
		Version: 2, Services: map[string]*fleet.Service{"new": {Name: "new"}}, Findings: []error{errors.New("services[1]")},
		Routes: []fleet.Route{{Split: []fleet.WeightedService{{Service: "old", Weight: 1}, {Service: "new", Weight: 1}}}},
	}
	assert.ErrorContains(t, d.applyItem(start, put("c", "", 3)), "services[1]")
	c := d.publish(3).Config
	assert.Equal(t, c.Version, uint64(2))
	assert.Assert(t, c.Services["old"] != nil, "a service that could not be decoded must keep its description")
	next = &fleet.Config{Version: 3, Services: map[string]*fleet.Service{}}
	assert.NilError(t, d.applyItem(start, put("c", "", 4)))
	assert.Equal(t, d.publish(4).Config.Version, uint64(3))
}
