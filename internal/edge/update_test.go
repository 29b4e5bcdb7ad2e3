package edge

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/feed"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/schema"
)

// configWithRoutes returns data as long as a configuration with n routes.
func configWithRoutes(n int) []byte {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"id":"r-%d","from":"h%d.example","path":"/p%x/","type":"may run again","timeout":800,`+
			`"objective":300,"rank":2,"to":"s","attempts":2},`, i, i%7, i*7919)
	}
	return []byte(b.String())
}

func TestUpdateRoundTrip(t *testing.T) {
	for _, row := range []struct {
		name   string
		value  []byte
		packed bool
	}{
		{"a leaving target", []byte(`{"state":"leaving"}`), false},
		{"a large configuration", configWithRoutes(1700), true},
	} {
		t.Run(row.name, func(t *testing.T) {
			u := feed.Update{From: 4, To: 9, Snapshot: true, Age: 30 * time.Millisecond, Items: []fleet.Item{
				{Key: "a", Value: row.value, Revision: 7}, {Key: "b", Revision: 8, Deleted: true},
			}}
			message := updateToProto(u)
			assert.Equal(t, len(message.Packed) > 0, row.packed)
			assert.Assert(t, proto.Size(message) < 50_000, "%d bytes", proto.Size(message))
			got, err := updateFromProto(message)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, u)
		})
	}
}

func TestCorruptUpdateIsRejected(t *testing.T) {
	message := updateToProto(feed.Update{To: 9, Items: []fleet.Item{{Key: "a", Value: configWithRoutes(100), Revision: 7}}})
	for _, damaged := range [][]byte{message.Packed[:len(message.Packed)/2], []byte("no zstd")} {
		_, err := updateFromProto(&schema.FeedUpdate{To: 9, Packed: damaged})
		assert.ErrorContains(t, err, "unpack update")
	}
}
