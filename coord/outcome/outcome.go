// Package outcome keeps the records that stop a keyed request from running
// twice. A caller's repeat of a request may reach another VM, after a crash or
// on the other side of a partition, so a record must be found by whoever asks.
//
// # How a key is guarded
//
// The record of a key has three holders, the top of a rendezvous over the
// published list, spread over halls. Before a request runs, Quorum asks all
// three to record it; two must accept. Any two pairs out of three share a
// holder, so a second run of the key meets the first one's record.
//
// That argument needs holders that can have missed no record. A holder counts
// only while it is certain: see History. A holder that has just started, or has
// just become one through a change of the list, answers but does not count until
// it has the others' records.
//
// What the argument does not cover is said in docs/design/at-most-once.md: a
// loss of all VMs at once loses all records.
//
// When two certain holders cannot be reached the request is not run; as an
// earlier try may have been, the answer says that the outcome is unknown.
//
// Table is one holder; Quorum is one try to begin or finish. Both are O(1) in
// the number of records, but for expiry, which is amortized.
package outcome

import (
	"bytes"
	"time"
)

// Holders is how many VMs hold each record, Needed how many must accept.
const (
	ReplicationFactor = 3
	QuorumSize        = 2
)

// Status is how far the run of a key has come.
type Status int

// The statuses of a record.
const (
	// Open records belong to a run that has not finished, or never will.
	Open Status = iota + 1
	// Done records hold the outcome.
	Done
	// NotRun records belong to a run that provably did not happen; the key may
	// run again.
	NotRun
)

// Record is what is kept of one key.
type Record struct {
	Key string
	// Run tells one try of the request from another.
	Run string
	// Fingerprint of the request, to catch a key that is used for two.
	Fingerprint []byte
	Status      Status
	// Answer is the encoded answer of a Done record; nil when it was too
	// large to keep.
	Answer []byte
	Since  time.Time

	// rivals are open runs of the same key that other holders recorded. At
	// most one run of a key can have been granted, but a holder that copies
	// from two others cannot tell which, so it forgets none before its end.
	rivals []Record
}

// VoteResult is a holder's answer to Begin.
type VoteResult int

// The verdicts of a holder.
const (
	// Granted means that the run is recorded here.
	Granted VoteResult = iota + 1
	// Busy means that another run of the key is open.
	Busy
	// Repeat means that the key has an outcome.
	Repeat
	// Mismatch means that the key belongs to a different request.
	Mismatch
	// Full means that no more records fit.
	Full
)

// Config holds the limits of a Table.
type Config struct {
	// Retention is how long a record is kept.
	Retention time.Duration
	// MaxBytes bounds the keys and answers held.
	MaxBytes int
}

// Table is the records of one holder.
type Table struct {
	cfg     Config
	records map[string]*Record
	order   []expiry
	bytes   int
}

type expiry struct {
	key string
	run string
	at  time.Time
}

// recordOverhead is the approximate cost of a record without its strings.
const recordOverhead = 160

// NewTable returns an empty Table.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, records: map[string]*Record{}}
}

// SetLimits takes new limits. Records held are not dropped to meet them.
func (t *Table) SetLimits(cfg Config) { t.cfg = cfg }

// Len returns how many records are held, and Bytes their approximate size.
func (t *Table) Len() int { return len(t.records) }

// Bytes returns the approximate size of the records held.
func (t *Table) Bytes() int { return t.bytes }

func (r *Record) size() int {
	return recordOverhead*(1+len(r.rivals)) + len(r.Key) + len(r.Run) + len(r.Fingerprint) + len(r.Answer)
}

// Begin records that run is about to run key.
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
	case old.Status == Open && old.Run == run && len(old.rivals) == 0:
		return Granted, old // the same try asks again
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
	t.order = append(t.order, expiry{key: r.Key, run: r.Run, at: r.Since.Add(t.cfg.Retention)})
}

func (t *Table) remove(r *Record) {
	t.bytes -= r.size()
	delete(t.records, r.Key)
}

// Finish stores the outcome of run. The outcome of a run that is not recorded is
// ignored. An answer that does not fit is left out; the record still says that
// key ran. The retention starts anew, so that an answer is kept for its full
// time.
func (t *Table) Finish(now time.Time, key, run string, status Status, answer []byte) {
	r := t.records[key]
	if r == nil {
		t.bury(now, key, run, status)
		return
	}
	t.remove(r)
	switch {
	case r.Status == NotRun && status == NotRun:
		r = &Record{Key: key, Run: run, Status: NotRun}
	case r.Run == run && r.Status == Open:
		r = r.finish(status, answer)
	case status == Done && r.hasRival(run):
		r = &Record{Key: key, Run: run, Fingerprint: r.Fingerprint, Status: Done, Answer: answer}
	default:
		r.dropRival(run)
		t.put(r)
		return
	}
	r.Since = now
	if t.bytes+r.size() > t.cfg.MaxBytes {
		r.Answer = nil
	}
	t.put(r)
}

// bury notes a run that was given up before this holder heard of it, so that its
// Begin, when it arrives late, is not granted.
func (t *Table) bury(now time.Time, key, run string, status Status) {
	if status == NotRun {
		_, _ = t.insert(now, &Record{Key: key, Run: run, Status: NotRun})
	}
}

// finish ends the record's own run. When it did not run, a rival that may have
// takes its place.
func (r *Record) finish(status Status, answer []byte) *Record {
	if status == NotRun && len(r.rivals) > 0 {
		next := r.rivals[0]
		next.rivals = r.rivals[1:]
		return &next
	}
	r.Status, r.Answer = status, answer
	if status == Done {
		r.rivals = nil
	}
	return r
}

func (r *Record) hasRival(run string) bool {
	for _, o := range r.rivals {
		if o.Run == run {
			return true
		}
	}
	return false
}

func (r *Record) dropRival(run string) {
	kept := r.rivals[:0]
	for _, o := range r.rivals {
		if o.Run != run {
			kept = append(kept, o)
		}
	}
	r.rivals = kept
}

// Merge takes a record from another holder. A finished run replaces open ones;
// nothing replaces it. A run that was not made leaves no trace. Two open runs
// are both kept.
func (t *Table) Merge(now time.Time, r Record) {
	if now.Sub(r.Since) >= t.cfg.Retention || r.Status == NotRun {
		return
	}
	old := t.records[r.Key]
	if old != nil && (old.Status == Done || old.Run == r.Run && r.Status == Open || old.hasRival(r.Run) && r.Status == Open) {
		return
	}
	if old != nil {
		t.remove(old)
	}
	r.rivals = nil
	if old != nil && old.Status == Open && r.Status == Open {
		r.rivals = append([]Record{{Key: old.Key, Run: old.Run, Fingerprint: old.Fingerprint, Status: Open, Since: old.Since}}, old.rivals...)
	}
	if t.bytes+r.size() > t.cfg.MaxBytes {
		r.Answer = nil
	}
	t.put(&r)
}

// Find returns the record of a key, or nil.
func (t *Table) Find(key string) *Record { return t.records[key] }

// Each calls f for every run that is recorded, rivals included.
func (t *Table) Each(f func(*Record)) {
	for _, r := range t.records {
		f(r)
		for i := range r.rivals {
			f(&r.rivals[i])
		}
	}
}

// Expire forgets records older than the retention. An expiry that is met while
// its record has been renewed is put off.
func (t *Table) Expire(now time.Time) {
	for len(t.order) > 0 && !now.Before(t.order[0].at) {
		e := t.order[0]
		t.order = t.order[1:]
		r := t.records[e.key]
		if r != nil && r.Run == e.run && !now.Before(r.Since.Add(t.cfg.Retention)) {
			t.remove(r)
		}
	}
}
