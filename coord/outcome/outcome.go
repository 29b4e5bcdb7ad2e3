// Package outcome keeps the records that prevent a keyed request from running twice. A caller's
// retry of a request may reach another VM after a crash or on the other side of a partition, so
// every VM must be able to find the record.
//
// # How a key is protected
//
// The record of a key has three holders: the VMs of the published list with the highest rendezvous
// weights, spread over availability zones. Before a request runs, all three holders receive a Begin;
// two must grant it. Any two pairs out of three share a holder, so a second run of the key finds the
// record of the first one.
//
// This requires holders that cannot have missed a record. A holder's grant counts only while the
// holder is authoritative for the key (see History). A holder that has just started, or has just
// become one by a change of the list, responds but does not count until it has the records of the
// others.
//
// docs/design/at-most-once.md names the case that is not covered: a loss of all VMs at once loses
// all records.
//
// If fewer than two authoritative holders can be reached, the request does not run. An earlier
// attempt may have run, so the response reports the outcome as unknown.
//
// Table holds the records of one holder; Quorum is one attempt to begin a run. The operations
// of both are O(1) in the number of records, except for expiry, which is amortized.
package outcome

import (
	"bytes"
	"time"
)

// ReplicationFactor is the number of VMs that hold each record, QuorumSize the number of them that
// must accept a run.
const (
	ReplicationFactor = 3
	QuorumSize        = 2
)

// Status is the progress of a key's run.
type Status int

// Statuses of a record.
const (
	// Open is the status of a run that has not finished, and may never finish.
	Open Status = iota + 1
	// Done is the status of a run that has finished; the record holds its outcome.
	Done
	// NotRun is the status of a run that provably did not happen; the key may run again.
	NotRun
)

// Record is the stored state of one key.
type Record struct {
	Key string
	// Run identifies the attempt of the request that made the record.
	Run string
	// Fingerprint is a fingerprint of the request. It detects a key that is used for two different
	// requests.
	Fingerprint []byte
	Status      Status
	// Answer is the encoded answer of a Done record. It is nil if the answer was too large to keep.
	Answer []byte
	Since  time.Time

	// conflictingRuns are open runs of the same key that other holders recorded. At most one run of
	// a key can have been granted, but a holder that copies records from two others cannot
	// determine which one, so it keeps each of them until it ends.
	conflictingRuns []Record
}

// VoteResult is a holder's response to Begin.
type VoteResult int

// Results of a vote.
const (
	// Granted means that the holder has recorded the run.
	Granted VoteResult = iota + 1
	// Busy means that another run of the key is open.
	Busy
	// Repeat means that the key has an outcome.
	Repeat
	// Mismatch means that the key belongs to a different request.
	Mismatch
	// Full means that the table has no room for the record.
	Full
)

// Config holds the limits of a Table.
type Config struct {
	// Retention is how long a record is kept.
	Retention time.Duration
	// MaxBytes bounds the approximate size of all records, in bytes.
	MaxBytes int
}

// Table holds the records of one holder.
type Table struct {
	cfg      Config
	records  map[string]*Record
	expiries []expiry
	bytes    int
}

type expiry struct {
	key string
	run string
	at  time.Time
}

// recordOverhead is the approximate size of a record without its strings, in bytes.
const recordOverhead = 160

// NewTable returns an empty Table.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, records: map[string]*Record{}}
}

// SetLimits replaces the limits. It does not remove records to meet them.
func (t *Table) SetLimits(cfg Config) { t.cfg = cfg }

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Bytes returns the approximate size of all records.
func (t *Table) Bytes() int { return t.bytes }

func (r *Record) size() int {
	return recordOverhead*(1+len(r.conflictingRuns)) + len(r.Key) + len(r.Run) + len(r.Fingerprint) + len(r.Answer)
}

// Begin records that run is about to run key. It returns the vote, and the record that the table
// has of the key, or nil if the table is full.
func (t *Table) Begin(now time.Time, key, run string, fingerprint []byte) (VoteResult, *Record) {
	t.Expire(now)
	old := t.records[key]
	if old == nil {
		return t.insert(now, &Record{Key: key, Run: run, Fingerprint: fingerprint, Status: Open})
	}
	if old.Status != NotRun && !bytes.Equal(old.Fingerprint, fingerprint) {
		return Mismatch, old
	}
	switch {
	case old.Status == Done:
		return Repeat, old
	case old.Status == NotRun && old.Run != run:
		t.remove(old)
		return t.insert(now, &Record{Key: key, Run: run, Fingerprint: fingerprint, Status: Open})
	case old.Status == Open && old.Run == run && len(old.conflictingRuns) == 0:
		return Granted, old // the same attempt repeats its request
	}
	return Busy, old
}

func (t *Table) insert(now time.Time, r *Record) (VoteResult, *Record) {
	if t.bytes+r.size() > t.cfg.MaxBytes {
		return Full, nil
	}
	r.Since = now
	t.put(r)
	return Granted, r
}

func (t *Table) put(r *Record) {
	t.records[r.Key] = r
	t.bytes += r.size()
	t.expiries = append(t.expiries, expiry{key: r.Key, run: r.Run, at: r.Since.Add(t.cfg.Retention)})
}

func (t *Table) remove(r *Record) {
	t.bytes -= r.size()
	delete(t.records, r.Key)
}

// Finish stores the outcome of run. The outcome of a run that is not recorded is ignored, except
// for NotRun of a key without a record. An answer that does not fit is dropped; the record still
// shows that the key ran. The retention starts again, so that an answer is kept for its full time.
func (t *Table) Finish(now time.Time, key, run string, status Status, answer []byte) {
	r := t.records[key]
	if r == nil {
		t.recordNotRun(now, key, run, status)
		return
	}
	t.remove(r)
	switch {
	case r.Status == NotRun && status == NotRun:
		r = &Record{Key: key, Run: run, Status: NotRun}
	case r.Run == run && r.Status == Open:
		r = r.finish(status, answer)
	case status == Done && r.hasConflictingRun(run):
		r = &Record{Key: key, Run: run, Fingerprint: r.Fingerprint, Status: Done, Answer: answer}
	default:
		r.removeConflictingRun(run)
		t.put(r)
		return
	}
	r.Since = now
	if t.bytes+r.size() > t.cfg.MaxBytes {
		r.Answer = nil
	}
	t.put(r)
}

// recordNotRun records an abandoned run whose Begin has not reached this holder, so that a late
// Begin is not granted.
func (t *Table) recordNotRun(now time.Time, key, run string, status Status) {
	if status == NotRun {
		_, _ = t.insert(now, &Record{Key: key, Run: run, Status: NotRun})
	}
}

// finish ends the record's own run. If the run did not happen, a conflicting run that may have
// happened replaces it.
func (r *Record) finish(status Status, answer []byte) *Record {
	if status == NotRun && len(r.conflictingRuns) > 0 {
		next := r.conflictingRuns[0]
		next.conflictingRuns = r.conflictingRuns[1:]
		return &next
	}
	r.Status, r.Answer = status, answer
	if status == Done {
		r.conflictingRuns = nil
	}
	return r
}

func (r *Record) hasConflictingRun(run string) bool {
	for _, o := range r.conflictingRuns {
		if o.Run == run {
			return true
		}
	}
	return false
}

func (r *Record) removeConflictingRun(run string) {
	kept := r.conflictingRuns[:0]
	for _, o := range r.conflictingRuns {
		if o.Run != run {
			kept = append(kept, o)
		}
	}
	r.conflictingRuns = kept
}

// Merge adds a record from another holder. A finished run replaces open runs and is never replaced.
// NotRun records are ignored. Two open runs are both kept.
func (t *Table) Merge(now time.Time, r Record) {
	if now.Sub(r.Since) >= t.cfg.Retention || r.Status == NotRun {
		return
	}
	old := t.records[r.Key]
	if old != nil && (old.Status == Done || old.Run == r.Run && r.Status == Open || old.hasConflictingRun(r.Run) && r.Status == Open) {
		return
	}
	if old != nil {
		t.remove(old)
	}
	r.conflictingRuns = nil
	if old != nil && old.Status == Open && r.Status == Open {
		r.conflictingRuns = append([]Record{{Key: old.Key, Run: old.Run, Fingerprint: old.Fingerprint, Status: Open, Since: old.Since}}, old.conflictingRuns...)
	}
	if t.bytes+r.size() > t.cfg.MaxBytes {
		r.Answer = nil
	}
	t.put(&r)
}

// Find returns the record of a key, or nil.
func (t *Table) Find(key string) *Record { return t.records[key] }

// Each calls f for every recorded run, including conflicting runs.
func (t *Table) Each(f func(*Record)) {
	for _, r := range t.records {
		f(r)
		for i := range r.conflictingRuns {
			f(&r.conflictingRuns[i])
		}
	}
}

// Expire removes records that have reached the retention. The entry of a record that was renewed in
// the meantime has no effect; the renewal added a later entry.
func (t *Table) Expire(now time.Time) {
	for len(t.expiries) > 0 && !now.Before(t.expiries[0].at) {
		e := t.expiries[0]
		t.expiries = t.expiries[1:]
		r := t.records[e.key]
		if r != nil && r.Run == e.run && !now.Before(r.Since.Add(t.cfg.Retention)) {
			t.remove(r)
		}
	}
}
