package ownership

import (
	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/membership"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
)

// Chooser picks the owner of a target from a view of the VMs. Make a new one
// when the view changes; a pick costs one hash mix for each live VM of
// the target's hall.
type Chooser struct {
	all   pool
	halls map[string]*pool
}

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

// NewChooser returns a Chooser over the live members.
func NewChooser(members []*membership.Member) *Chooser {
	c := &Chooser{halls: map[string]*pool{}}
	for _, m := range members {
		if m.State != membership.Live {
			continue
		}
		c.all.add(m)
		if c.halls[m.Zone] == nil {
			c.halls[m.Zone] = &pool{}
		}
		c.halls[m.Zone].add(m)
	}
	return c
}

// Owner returns the VM that should own a target of a hall, or "" when no VM is
// live. key is the rendezvous hash of the target's id.
func (c *Chooser) Owner(key uint64, hall string) coord.VMID {
	if p := c.halls[hall]; p != nil {
		return p.pick(key)
	}
	return c.all.pick(key)
}

// Singleton returns the VM that should carry out a duty of which the fleet has
// one, such as giving load turns.
func (c *Chooser) Singleton(duty string) coord.VMID {
	return c.all.pick(rendezvous.Hash(duty))
}
