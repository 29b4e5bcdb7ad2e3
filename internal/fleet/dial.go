package fleet

import (
	"context"
	"net"
)

// DialFunc opens a TCP connection with the settings of a dialer.
type DialFunc func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error)

// DialTCP is the DialFunc of the dialer itself.
func DialTCP(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
	return d.DialContext(ctx, "tcp", address)
}
