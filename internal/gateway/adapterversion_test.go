package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/feed"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/hop"
)

// TestDecisionFromBeforeNewVersion guards against requests that run on an outdated version of their adapter
// because the decision waited, or was made on an older copy of the store than the sender's or the relay's.
func TestDecisionFromBeforeNewVersion(t *testing.T) {
	const grace = 3 * time.Second
	ref := fleet.AdapterRef{Model: "m", Adapter: "a"}
	for _, row := range []struct {
		name     string
		version  int64
		declared time.Duration // before now
		want     error
	}{
		{"the newest", 2, time.Hour, nil},
		{"newer than this copy", 3, time.Hour, nil},
		{"older, within the bound", 1, grace - time.Millisecond, nil},
		{"older", 1, grace, errOutdatedVersion},
		{"whichever the target holds, within the bound", 0, grace - time.Millisecond, nil},
		{"whichever the target holds", 0, grace, errOutdatedVersion},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := newBackend(t, "a")
			x := newFixture(t, b)
			now := time.Now()
			x.gateway.cfg.Now = func() time.Time { return now }
			x.gateway.cfg.VersionGrace = grace
			x.directory.dir.Versions = map[fleet.AdapterRef]feed.DeclaredVersion{ref: {Version: 2, After: now.Add(-row.declared)}}
			relayed := x.gateway.CheckRelayed("a", hop.Placement{Adapter: ref, AdapterVersion: row.version})
			assert.Equal(t, relayed, row.want)

			x.admission.targets = []*fleet.Target{b.target()}
			x.admission.adapterVersion = row.version
			resp, _ := x.send(t, "POST", "/stream/x", "prompt", "Adapter", "a")
			if row.want == nil {
				assert.Equal(t, b.requestCount(), 1)
				return
			}
			assert.Equal(t, b.requestCount(), 0)
			assert.Equal(t, resp.StatusCode, 503)
		})
	}
}
