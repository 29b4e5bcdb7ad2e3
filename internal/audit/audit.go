// Package audit keeps the trail of changes: who changed what, when, the old
// value and the new one. VMs keep nothing for good, so each change is a log
// line and an entry in a bounded ring in memory.
package audit

import (
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/junctionfold/junctionfold/schema"
)

// Capacity is how many events the ring holds.
const Capacity = 1024

// Trail is the audit trail of one VM. It is safe for concurrent use.
type Trail struct {
	vm  string
	log log.Interface

	mu    sync.Mutex
	ring  [Capacity]*schema.AuditEvent
	count int
}

// New returns an empty Trail.
func New(vm string, l log.Interface) *Trail { return &Trail{vm: vm, log: l} }

// Change is one change to note.
type Change struct {
	// Actor is who changed it: the author of a bundle, or a part of the system.
	Actor   string
	Subject string
	Old     string
	New     string
	Comment string
}

// Record adds a change.
func (t *Trail) Record(now time.Time, c Change) {
	e := &schema.AuditEvent{
		UnixMs: now.UnixMilli(), Vm: t.vm, Actor: c.Actor,
		Subject: c.Subject, Old: c.Old, New: c.New, Comment: c.Comment,
	}
	t.mu.Lock()
	t.ring[t.count%Capacity] = e
	t.count++
	t.mu.Unlock()
	t.log.WithFields(log.Fields{
		"actor": c.Actor, "subject": c.Subject, "old": c.Old, "new": c.New, "comment": c.Comment,
	}).Info("audit")
}

// Events returns the events held, oldest first.
func (t *Trail) Events() []*schema.AuditEvent {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := max(0, t.count-Capacity)
	out := make([]*schema.AuditEvent, 0, t.count-first)
	for i := first; i < t.count; i++ {
		out = append(out, t.ring[i%Capacity])
	}
	return out
}
