package ownership

import (
	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/membership"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
)

// Chooser selects the owner of a target from a view of the VMs. Create a new
// Chooser when the view changes. A selection computes one rendezvous weight for
// each live VM of the target's availability zone, or of the whole fleet if the zone
// has none.
type Chooser struct {
	all   pool
	zones map[string]*pool
}

// pool holds the VMs among which an owner is selected, with their rendezvous hashes.
type pool struct {
	ids    []coord.VMID
	hashes []uint64
}

func (p *pool) add(m *membership.Member) {
	p.ids = append(p.ids, m.ID)
	p.hashes = append(p.hashes, rendezvous.Hash(string(m.ID)))
}

func (p *pool) pick(key uint64) coord.VMID {
	var best [1]int
	if rendezvous.Top(p.hashes, key, best[:]) == 0 {
		return ""
	}
	return p.ids[best[0]]
}

// NewChooser returns a Chooser that selects among the live members.
func NewChooser(members []*membership.Member) *Chooser {
	c := &Chooser{zones: map[string]*pool{}}
	for _, m := range members {
		if m.State != membership.Live {
			continue
		}
		c.all.add(m)
		if c.zones[m.Zone] == nil {
			c.zones[m.Zone] = &pool{}
		}
		c.zones[m.Zone].add(m)
	}
	return c
}

// Owner returns the VM that should own a target in the given availability zone. It
// selects among all live VMs when the zone has none, and returns "" when no VM is
// live. key is the rendezvous hash of the target's ID.
func (c *Chooser) Owner(key uint64, zone string) coord.VMID {
	if p := c.zones[zone]; p != nil {
		return p.pick(key)
	}
	return c.all.pick(key)
}

// Singleton returns the VM that should perform a role that exists once in the
// fleet, such as issuing load permits. It returns "" when no VM is live.
func (c *Chooser) Singleton(role string) coord.VMID {
	return c.all.pick(rendezvous.Hash(role))
}
