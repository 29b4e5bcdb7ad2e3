package hop

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Probe connects to a target and closes the connection without a request. It does not count toward
// Request.MaxConns.
func (p *Pool) Probe(ctx context.Context, key, address string) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := p.connect(ctx, address)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "connect to %s", key), ErrUnreachable)
	}
	_ = raw.Close() // nothing was sent
	return nil
}
