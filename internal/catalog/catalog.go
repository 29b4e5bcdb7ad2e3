// Package catalog compiles a configuration bundle for serving: it resolves model
// names and holds the placement map of the targets. A Catalog is immutable.
package catalog

import (
	"strings"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/placement"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
	"github.com/junctionfold/junctionfold/schema"
)

// Catalog is one bundle version, indexed for lookups by name.
type Catalog struct {
	Version  uint64
	Weights  *schema.Weights
	Limits   *schema.Limits
	Engines  *placement.Map
	adapters map[string]*Adapter
	bases    map[string]*Adapter
	services map[string]*Service
	targets  map[coord.TargetID]*Target
	ranks    map[string]int
}

// Adapter describes an adapter, or a base model that is served without one.
type Adapter struct {
	Name     string
	Base     string
	Versions []string
	Rank     int
	// ZoneMask is the placement bit mask of the zones that may serve the adapter.
	ZoneMask  uint64
	RateLimit float64
	Revision  int32
}

// Service is a plain service with its instances.
type Service struct {
	Name      string
	Rank      int
	Timeout   time.Duration
	RateLimit float64
	Targets   []*Target

	idempotent map[string]bool
}

// Target is a back end with the rendezvous hash of its name.
type Target struct {
	*schema.Target
	ID   coord.TargetID
	Hash uint64
}

// Model is the adapter version or base model that a model name resolves to.
type Model struct {
	Adapter coord.Adapter
	Base    string
	// Key is the placement key of the adapter and version.
	Key       uint64
	ZoneMask  uint64
	Rank      int
	RateLimit float64
}

// ErrorKind is the reason why a model name does not resolve; OK if it does.
type ErrorKind int

// Results of resolving a model name.
const (
	OK ErrorKind = iota
	// NoVersion means that the adapter exists but the name has no @version.
	NoVersion
	// UnknownAdapter means that the bundle has no adapter of that name.
	UnknownAdapter
	// UnknownVersion means that the adapter does not have that version.
	UnknownVersion
)

// New compiles a bundle with its version.
func New(version uint64, b *schema.Bundle) *Catalog {
	c := &Catalog{
		Version: version, Weights: b.Weights, Limits: b.Limits,
		adapters: make(map[string]*Adapter, len(b.Adapters)),
		bases:    make(map[string]*Adapter, len(b.Bases)),
		services: make(map[string]*Service, len(b.Services)),
		targets:  make(map[coord.TargetID]*Target, len(b.Targets)),
		ranks:    make(map[string]int, len(b.Priorities)),
	}
	for _, p := range b.Priorities {
		c.ranks[p.Name] = int(p.Rank)
	}
	c.addServices(b.Services)
	c.addTargets(b.Targets)
	c.addAdapters(b)
	return c
}

func (c *Catalog) addServices(services []*schema.Service) {
	for _, s := range services {
		c.services[s.Name] = &Service{
			Name: s.Name, Rank: c.ranks[s.Priority], RateLimit: s.RateLimit,
			Timeout:    time.Duration(s.TimeoutMs) * time.Millisecond,
			idempotent: newMethodSet(s.IdempotentMethods),
		}
	}
}

// idempotentMethods are the idempotent methods of RFC 9110, section 9.2.2. They
// apply to services that list none.
var idempotentMethods = []string{"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"}

func newMethodSet(methods []string) map[string]bool {
	if len(methods) == 0 {
		methods = idempotentMethods
	}
	out := make(map[string]bool, len(methods))
	for _, m := range methods {
		out[strings.ToUpper(m)] = true
	}
	return out
}

// Idempotent reports whether a request with the method may be repeated.
func (s *Service) Idempotent(method string) bool { return s.idempotent[method] }

func (c *Catalog) addTargets(targets []*schema.Target) {
	var engines []placement.Target
	for _, t := range targets {
		ct := &Target{Target: t, ID: coord.TargetID(t.Name), Hash: rendezvous.Hash(t.Name)}
		c.targets[ct.ID] = ct
		if t.Kind == schema.TargetKind_TARGET_KIND_ENGINE {
			engines = append(engines, placement.Target{
				ID: ct.ID, Base: t.Base, Zone: t.Hall, Batch: int(t.Batch), Leaving: t.Leaving,
			})
			continue
		}
		if s := c.services[t.Service]; s != nil {
			s.Targets = append(s.Targets, ct)
		}
	}
	c.Engines = placement.NewMap(engines)
}

func (c *Catalog) addAdapters(b *schema.Bundle) {
	for _, m := range b.Bases {
		c.bases[m.Name] = &Adapter{Name: m.Name, Base: m.Name, ZoneMask: c.Engines.ZoneMask(nil)}
	}
	for _, a := range b.Adapters {
		c.adapters[a.Name] = &Adapter{
			Name: a.Name, Base: a.Base, Versions: a.Versions, Rank: c.ranks[a.Priority],
			ZoneMask: c.Engines.ZoneMask(a.Halls), RateLimit: a.RateLimit, Revision: a.Revision,
		}
	}
}

// Resolve returns the model of a name, which is either adapter@version or the name
// of a base model.
func (c *Catalog) Resolve(model string) (Model, ErrorKind) {
	name, version, ok := strings.Cut(model, "@")
	if !ok {
		if b := c.bases[name]; b != nil {
			return b.toModel(""), OK
		}
		if c.adapters[name] != nil {
			return Model{}, NoVersion
		}
		return Model{}, UnknownAdapter
	}
	a := c.adapters[name]
	if a == nil {
		return Model{}, UnknownAdapter
	}
	for _, v := range a.Versions {
		if v == version {
			return a.toModel(v), OK
		}
	}
	return Model{}, UnknownVersion
}

func (a *Adapter) toModel(version string) Model {
	ref := coord.Adapter{Name: a.Name, Version: version, Revision: a.Revision}
	return Model{
		Adapter: ref, Base: a.Base, Key: rendezvous.Hash(ref.Model()),
		ZoneMask: a.ZoneMask, Rank: a.Rank, RateLimit: a.RateLimit,
	}
}

// ParseName returns the adapter for the name that engines know it by. It returns
// false if the bundle does not hold the adapter in that version and revision.
func (c *Catalog) ParseName(name string) (coord.Adapter, bool) {
	model, _, _ := strings.Cut(name, "+")
	m, kind := c.Resolve(model)
	return m.Adapter, kind == OK && m.Adapter.String() == name
}

// Service returns the plain service of that name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Target returns the target of that id, or nil.
func (c *Catalog) Target(id coord.TargetID) *Target { return c.targets[id] }

// Targets returns all targets by id. The caller must not modify the map.
func (c *Catalog) Targets() map[coord.TargetID]*Target { return c.targets }

// Models calls f for every name that Resolve accepts.
func (c *Catalog) Models(f func(name string)) {
	for name := range c.bases {
		f(name)
	}
	for name, a := range c.adapters {
		for _, v := range a.Versions {
			f(name + "@" + v)
		}
	}
}
