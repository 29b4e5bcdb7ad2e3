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

// decodeStarts reads "N" as a target that started at N, and "N!" as one that leaves; "-" as
// one that does not say when. Anything else is of another writer.
func decodeStarts(i fleet.Item) (fleet.Decoded, error) {
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
		return fleet.Decoded{}, errors.Newf("%q is of another writer", text)
	}
	t.Started = n
	t.ID += "#" + text
	return fleet.Decoded{Target: t}, nil
}

// TestStartsOfOneKey: a later start under a key replaces the one before at once, whatever
// that one said last; an earlier one changes nothing.
func TestStartsOfOneKey(t *testing.T) {
	for _, row := range []struct {
		name    string
		entries []string // "x": removed
		// want is the target in use, state its state; gone are the ids that must not be
		// sent to any more.
		want  string
		state fleet.TargetState
		gone  []string
	}{
		{"born again", []string{"5", "7"}, "t#7", fleet.TargetReady, []string{"t#5"}},
		{"an older entry comes late", []string{"7", "5"}, "t#7", fleet.TargetReady, nil},
		{"it left and is born again", []string{"5!", "7"}, "t#7", fleet.TargetReady, []string{"t#5"}},
		{"it left, and its word comes late", []string{"7", "5!"}, "t#7", fleet.TargetReady, nil},
		{"removed and born again", []string{"5", "x", "7"}, "t#7", fleet.TargetReady, []string{"t#5"}},
		{"removed, and the older one comes late", []string{"7", "x", "5"}, "t#7", fleet.TargetReady, nil},
		{"born again twice", []string{"5", "7", "9"}, "t#9", fleet.TargetReady, []string{"t#5", "t#7"}},
		{"the same start again", []string{"5", "5!"}, "t#5", fleet.TargetDraining, nil},
		{"a deployment that does not say", []string{"-", "-"}, "t", fleet.TargetReady, nil},
		{"of another writer for a moment", []string{"5", "?", "5"}, "t#5", fleet.TargetReady, nil},
		{"of another writer, then born again", []string{"5", "?", "7"}, "t#7", fleet.TargetReady, []string{"t#5"}},
		{"without its start for a moment", []string{"5", "-", "5"}, "t#5", fleet.TargetReady, nil},
		{"it left, and the entry is without its start", []string{"5!", "-"}, "t#5", fleet.TargetDraining, nil},
		{"it left, and the entry is of another writer", []string{"5!", "?"}, "t#5", fleet.TargetDraining, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			d := newDirectory(decodeStarts, 2*time.Second)
			for i, value := range row.entries {
				item := put("t", value, fleet.Revision(i+1))
				item.Deleted = value == "x"
				_ = d.take(start.Add(time.Duration(i)*100*time.Millisecond), item) // an error where it is of another writer
			}
			told := d.expire(start.Add(time.Second))
			got := d.publish(9)
			assert.Equal(t, len(got.Targets), 1)
			assert.Assert(t, got.Targets[row.want] != nil, "%v", got.Targets)
			assert.Equal(t, got.Targets[row.want].State, row.state)
			assert.Equal(t, len(got.Removed), len(row.gone))
			for _, id := range row.gone {
				assert.Assert(t, got.Removed[id], id)
			}
			assert.DeepEqual(t, told, row.gone)
		})
	}
}

// TestEntryOfAnotherWriterThatStays is not used for longer than a removed one, however
// often it is written, and is told once.
func TestEntryOfAnotherWriterThatStays(t *testing.T) {
	d := newDirectory(decodeStarts, 2*time.Second)
	assert.NilError(t, d.take(start, put("t", "5", 1)))
	said := 0
	for i := range fleet.Revision(20) {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		if d.take(now, put("t", "?", 2+i)) != nil {
			said++
		}
		d.expire(now)
		assert.Equal(t, d.publish(2 + i).Targets["t#5"] != nil, now.Sub(start) < goneAfter)
	}
	assert.Equal(t, said, 1)
	assert.Assert(t, d.publish(30).Removed["t#5"])
	assert.NilError(t, d.take(start.Add(3*time.Second), put("t", "5", 40)))
	assert.Assert(t, d.publish(40).Targets["t#5"] != nil, "its own entry brings it back")
	assert.Assert(t, d.take(start.Add(4*time.Second), put("t", "?", 41)) != nil, "a new change is told again")
}

// TestReplacedTargetIsTold: connections to the earlier process are dropped, and the
// directory without it is in force, in the update that brings the later one.
func TestReplacedTargetIsTold(t *testing.T) {
	x := newFixture()
	x.feed.dir = newDirectory(decodeStarts, 2*time.Second)
	x.feed.Apply(Update{Snapshot: true, To: 1, Items: []fleet.Item{put("t", "5", 1)}})
	var gone []string
	x.feed.cfg.OnRemoved = func(ids []string) { gone = append(gone, ids...) }
	x.feed.Apply(Update{From: 1, To: 2, Items: []fleet.Item{put("t", "7", 2)}})
	assert.DeepEqual(t, gone, []string{"t#5"})
	assert.Assert(t, x.feed.Directory().Removed["t#5"])
	assert.Assert(t, x.feed.Directory().Targets["t#7"] != nil)
	x.feed.Apply(Update{From: 2, To: 3, Items: []fleet.Item{put("t", "?", 3)}})
	assert.Equal(t, x.feed.RefusedItems(), int64(1))
}

// TestConfigurationThatCannotBeReadChangesNothing, and a part of one keeps nothing else back.
func TestConfigurationThatCannotBeReadChangesNothing(t *testing.T) {
	next := &fleet.Config{Version: 1, Services: map[string]*fleet.Service{"old": {Name: "old"}}}
	var fails error
	d := newDirectory(func(fleet.Item) (fleet.Decoded, error) {
		if fails != nil {
			return fleet.Decoded{}, fails
		}
		return fleet.Decoded{Config: next}, nil
	}, 2*time.Second)
	assert.NilError(t, d.take(start, put("c", "", 1)))
	fails = errors.New("unreadable")
	assert.ErrorContains(t, d.take(start, put("c", "", 2)), "unreadable")
	assert.Equal(t, d.publish(2).Config.Version, uint64(1))
	fails = nil
	next = &fleet.Config{
		Version: 2, Services: map[string]*fleet.Service{"new": {Name: "new"}}, Findings: []error{errors.New("services[1]")},
		Routes: []fleet.Route{{Split: []fleet.WeightedService{{Service: "old", Weight: 1}, {Service: "new", Weight: 1}}}},
	}
	assert.ErrorContains(t, d.take(start, put("c", "", 3)), "services[1]")
	c := d.publish(3).Config
	assert.Equal(t, c.Version, uint64(2))
	assert.Assert(t, c.Services["old"] != nil, "a service that was not understood keeps its description")
	next = &fleet.Config{Version: 3, Services: map[string]*fleet.Service{}}
	assert.NilError(t, d.take(start, put("c", "", 4)))
	assert.Equal(t, d.publish(4).Config.Version, uint64(3))
}
