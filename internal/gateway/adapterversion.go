package gateway

import (
	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/hop"
)

// errOutdatedVersion means that the target was chosen for a version of the adapter that a newer one has
// replaced since. The target may be chosen again.
var errOutdatedVersion = errors.New("a newer version of the adapter has been declared")

// checkAdapterVersion returns an error if the request that p describes must not run on its version of the
// adapter any more, by this VM's copy of the store. That copy may be newer than the one on which the target
// was chosen, and the decision may have waited.
func (g *Gateway) checkAdapterVersion(p hop.Placement) error {
	if g.cfg.Directory.Directory().IsOutdated(p.Adapter, p.AdapterVersion, g.cfg.Now(), g.cfg.VersionGrace) {
		return errOutdatedVersion
	}
	return nil
}
