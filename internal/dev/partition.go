package dev

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/node"
)

// Network is the connections between VMs, with a switch that cuts them.
type Network struct {
	mu    sync.Mutex
	side  map[string]int
	names map[string]string
	open  map[net.Conn]link
}

// link is one connection: the VM that dialled, and the address it dialled.
type link struct{ from, to string }

// NewNetwork returns a whole network.
func NewNetwork() *Network {
	return &Network{side: map[string]int{}, names: map[string]string{}, open: map[net.Conn]link{}}
}

// Register tells the network which VM listens at an address.
func (n *Network) Register(vm, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[address] = vm
}

// Partition puts each VM on a side; VMs on different sides cannot reach each other.
// VMs that are not named are on side 0, so an empty map heals the network.
func (n *Network) Partition(side map[string]int) {
	n.mu.Lock()
	n.side = side
	var cut []net.Conn
	for c, ends := range n.open {
		if side[ends.from] != side[n.names[ends.to]] {
			cut = append(cut, c)
			delete(n.open, c)
		}
	}
	n.mu.Unlock()
	for _, c := range cut {
		_ = c.Close()
	}
}

// errCut is what a dial across a cut gives.
var errCut = errors.New("the network is cut")

// Dial returns how a VM reaches others.
func (n *Network) Dial(vm string) node.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		if n.isCut(vm, address) {
			return nil, errCut
		}
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		n.open[c] = link{from: vm, to: address}
		n.mu.Unlock()
		return c, nil
	}
}

func (n *Network) isCut(vm, address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.side[vm] != n.side[n.names[address]]
}
