package bundle

import (
	"math"
	"net/netip"
	"strings"

	"github.com/junctionfold/junctionfold/internal/findings"
	"github.com/junctionfold/junctionfold/schema"
)

// MaxZones is the maximum number of zones in a bundle. Placement uses one bit of a
// 64-bit mask for each zone.
const MaxZones = 64

// Limits of names, which are used in URLs and sent to engines.
const (
	maxNameBytes   = 128
	nameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_./"
)

// checker validates a source's bundle, including references between items.
type checker struct {
	src        *Source
	fs         *findings.List
	zones      map[string]bool
	bases      map[string]bool
	services   map[string]bool
	priorities map[string]bool
	addresses  map[string]string
}

func (s *Source) check(fs *findings.List) {
	b := s.Bundle
	c := &checker{
		src: s, fs: fs,
		zones: nameSet(b.Halls), bases: nameSet(b.Bases),
		services: nameSet(b.Services), priorities: nameSet(b.Priorities),
		addresses: map[string]string{},
	}
	c.checkZoneCount()
	for _, h := range b.Halls {
		c.checkName("hall", h.Name)
	}
	for _, m := range b.Bases {
		c.checkName("base", m.Name)
	}
	for _, a := range b.Adapters {
		c.checkAdapter(a)
	}
	for _, v := range b.Services {
		c.checkService(v)
	}
	for _, t := range b.Targets {
		c.checkTarget(t)
	}
	c.checkWeights()
	c.checkLimits()
}

type named interface{ GetName() string }

func nameSet[T named](items []T) map[string]bool {
	out := make(map[string]bool, len(items))
	for _, i := range items {
		out[i.GetName()] = true
	}
	return out
}

func (c *checker) add(kind, name, key, format string, args ...any) {
	c.fs.Add(c.src.positionOf(kind, name, key), format, args...)
}

func (c *checker) checkName(kind, name string) {
	if problem := nameProblem(name); problem != "" {
		c.add(kind, name, "", "name %q %s", name, problem)
	}
}

func nameProblem(name string) string {
	if name == "" || len(name) > maxNameBytes {
		return "must have 1 to 128 letters"
	}
	if strings.Trim(name, nameCharacters) != "" {
		return "may hold letters, digits and - _ . / only"
	}
	return ""
}

func (c *checker) checkZoneCount() {
	if n := len(c.src.Bundle.Halls); n > MaxZones {
		c.fs.Add(findings.Position{Section: "hall"}, "%d halls; at most %d are told apart", n, MaxZones)
	}
}

func (c *checker) checkReference(kind, name, key, value string, known map[string]bool) {
	if value != "" && !known[value] {
		c.add(kind, name, key, "%q is not declared", value)
	}
}

func (c *checker) checkRequired(kind, name, key, value string) bool {
	if value == "" {
		c.add(kind, name, key, "is required")
		return false
	}
	return true
}

func (c *checker) checkAdapter(a *schema.Adapter) {
	c.checkName("adapter", a.Name)
	if c.checkRequired("adapter", a.Name, "base", a.Base) {
		c.checkReference("adapter", a.Name, "base", a.Base, c.bases)
	}
	if c.bases[a.Name] {
		c.add("adapter", a.Name, "", "has the name of a base model")
	}
	c.checkReference("adapter", a.Name, "priority", a.Priority, c.priorities)
	for _, h := range a.Halls {
		c.checkReference("adapter", a.Name, "halls", h, c.zones)
	}
	c.checkVersions(a)
	if a.Revision < 0 {
		c.add("adapter", a.Name, "revision", "%d is below zero", a.Revision)
	}
	c.checkNonNegative("adapter", a.Name, "rate_limit", a.RateLimit)
}

func (c *checker) checkVersions(a *schema.Adapter) {
	if len(a.Versions) == 0 {
		c.add("adapter", a.Name, "versions", "is required")
	}
	seen := map[string]bool{}
	for _, v := range a.Versions {
		if problem := nameProblem(v); problem != "" {
			c.add("adapter", a.Name, "versions", "version %q %s", v, problem)
		}
		if seen[v] {
			c.add("adapter", a.Name, "versions", "version %q stands twice", v)
		}
		seen[v] = true
	}
}

func (c *checker) checkService(s *schema.Service) {
	c.checkName("service", s.Name)
	if strings.Contains(s.Name, "/") {
		c.add("service", s.Name, "", "name may not hold a /: it is one step of the path")
	}
	c.checkReference("service", s.Name, "priority", s.Priority, c.priorities)
	c.checkNonNegative("service", s.Name, "rate_limit", s.RateLimit)
	if s.TimeoutMs < 0 {
		c.add("service", s.Name, "timeout_ms", "%d is below zero", s.TimeoutMs)
	}
}

func (c *checker) checkTarget(t *schema.Target) {
	c.checkName("target", t.Name)
	c.checkAddress(t)
	if c.checkRequired("target", t.Name, "hall", t.Hall) {
		c.checkReference("target", t.Name, "hall", t.Hall, c.zones)
	}
	switch t.Kind {
	case schema.TargetKind_TARGET_KIND_ENGINE:
		c.checkEngine(t)
	case schema.TargetKind_TARGET_KIND_SERVICE:
		if c.checkRequired("target", t.Name, "service", t.Service) {
			c.checkReference("target", t.Name, "service", t.Service, c.services)
		}
	default:
		c.add("target", t.Name, "kind", "is required: engine or service")
	}
}

func (c *checker) checkAddress(t *schema.Target) {
	if _, err := netip.ParseAddrPort(t.Address); err != nil {
		c.add("target", t.Name, "address", "%q is not an IP number with a port", t.Address)
		return
	}
	if other := c.addresses[t.Address]; other != "" {
		c.add("target", t.Name, "address", "%s belongs to target %q already", t.Address, other)
	}
	c.addresses[t.Address] = t.Name
}

// Upper bounds of an engine's declared slots and batch size.
const (
	maxSlots = 4096
	maxBatch = 65536
)

func (c *checker) checkEngine(t *schema.Target) {
	if c.checkRequired("target", t.Name, "base", t.Base) {
		c.checkReference("target", t.Name, "base", t.Base, c.bases)
	}
	if t.Slots < 1 || t.Slots > maxSlots {
		c.add("target", t.Name, "slots", "%d is not between 1 and %d", t.Slots, maxSlots)
	}
	if t.Batch < 1 || t.Batch > maxBatch {
		c.add("target", t.Name, "batch", "%d is not between 1 and %d", t.Batch, maxBatch)
	}
	if t.Fencing == schema.Fencing_FENCING_UNSPECIFIED {
		c.add("target", t.Name, "fencing", "is required: does the engine refuse or ignore old fencing numbers?")
	}
}

func (c *checker) checkWeights() {
	w := c.src.Bundle.Weights
	c.checkFraction("weights", "load_stall", w.LoadStall)
	c.checkFraction("weights", "batch_efficiency", w.BatchEfficiency)
}

func (c *checker) checkFraction(kind, key string, x float64) {
	if !(x >= 0 && x <= 1) {
		c.add(kind, "", key, "%v is not between 0 and 1", x)
	}
}

func (c *checker) checkNonNegative(kind, name, key string, x float64) {
	if !(x >= 0) || math.IsInf(x, 0) {
		c.add(kind, name, key, "%v is not a number from 0", x)
	}
}

// Ranges of the outcome retention and of the memory for outcomes.
const (
	minRetentionMs  = 10_000
	maxRetentionMs  = 86_400_000
	minOutcomeBytes = 1 << 20
	maxOutcomeBytes = 1 << 30
)

func (c *checker) checkLimits() {
	l := c.src.Bundle.Limits
	if l.QueuePerTarget < 1 || l.QueuePerTarget > maxBatch {
		c.add("limits", "", "queue_per_target", "%d is not between 1 and %d", l.QueuePerTarget, maxBatch)
	}
	if !(l.LoadsPerSecond > 0 && l.LoadsPerSecond <= 1e6) {
		c.add("limits", "", "loads_per_second", "%v is not between 0 and 1e6", l.LoadsPerSecond)
	}
	if l.OutcomeRetentionMs < minRetentionMs || l.OutcomeRetentionMs > maxRetentionMs {
		c.add("limits", "", "outcome_retention_ms", "%d is not between %d and %d", l.OutcomeRetentionMs, minRetentionMs, maxRetentionMs)
	}
	if l.OutcomeBytes < minOutcomeBytes || l.OutcomeBytes > maxOutcomeBytes {
		c.add("limits", "", "outcome_bytes", "%d is not between %d and %d", l.OutcomeBytes, minOutcomeBytes, maxOutcomeBytes)
	}
	c.checkNonNegative("limits", "", "caller_rate_limit", l.CallerRateLimit)
	c.checkFraction("limits", "retry_share", l.RetryShare)
}
