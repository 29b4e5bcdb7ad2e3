package dev

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/node"
)

// Network tracks the connections between VMs and can partition them.
type Network struct {
	mu          sync.Mutex
	sides       map[string]int
	vmByAddress map[string]string
	connections map[net.Conn]endpoints
}

// endpoints are the VM that dialed a connection and the address that it dialed.
type endpoints struct{ from, to string }

// NewNetwork returns a network without a partition.
func NewNetwork() *Network {
	return &Network{sides: map[string]int{}, vmByAddress: map[string]string{}, connections: map[net.Conn]endpoints{}}
}

// Register records that a VM listens on an address.
func (n *Network) Register(vm, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vmByAddress[address] = vm
}

// Partition assigns each VM to a side. It closes connections between sides, and dials
// between sides fail. VMs without an entry are on side 0, so an empty map removes the
// partition.
func (n *Network) Partition(sides map[string]int) {
	n.mu.Lock()
	n.sides = sides
	var severed []net.Conn
	for c, e := range n.connections {
		if sides[e.from] != sides[n.vmByAddress[e.to]] {
			severed = append(severed, c)
			delete(n.connections, c)
		}
	}
	n.mu.Unlock()
	for _, c := range severed {
		_ = c.Close()
	}
}

// errPartitioned is returned by a dial between sides of a partition.
var errPartitioned = errors.New("the network is partitioned")

// Dial returns the function with which a VM dials other VMs.
func (n *Network) Dial(vm string) node.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		if n.isPartitioned(vm, address) {
			return nil, errPartitioned
		}
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		n.connections[c] = endpoints{from: vm, to: address}
		n.mu.Unlock()
		return c, nil
	}
}

// isPartitioned reports whether a VM and the VM at an address are on different sides.
func (n *Network) isPartitioned(vm, address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sides[vm] != n.sides[n.vmByAddress[address]]
}
