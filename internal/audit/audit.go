// Package audit keeps the audit trail of changes: the actor, the subject, the time,
// and the old and new value. VMs have no persistent storage, so each change is
// written to the log and kept in a bounded ring buffer in memory.
package audit

import (
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/junctionfold/junctionfold/schema"
)

// Capacity is the maximum number of events in the ring buffer.
const Capacity = 1024

// Trail is the audit trail of one VM. It is safe for concurrent use.
type Trail struct {
	vm  string
	log log.Interface

	mu    sync.Mutex
	ring  [Capacity]*schema.AuditEvent
	count int
}

// New returns an empty Trail of a VM that writes each change to l.
func New(vm string, l log.Interface) *Trail { return &Trail{vm: vm, log: l} }

// Change is one change to be recorded.
type Change struct {
	// Actor made the change: the author of a bundle, or a part of the system.
	Actor   string
	Subject string
	Old     string
	New     string
	Comment string
}

// Record adds a change to the trail and logs it. The oldest event is dropped if the
// ring buffer is full.
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

// Events returns the recorded events, oldest first.
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
