// Package records prevents requests with an idempotency key from running twice. It
// stores outcome records on behalf of other VMs, and it queries the holders of the
// records for the requests that this VM serves. The protocol is defined by package
// coord/outcome.
//
// Lock order: no other lock is acquired while Store.mu is held.
package records

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/membership"
	"github.com/junctionfold/junctionfold/coord/outcome"
	"github.com/junctionfold/junctionfold/schema"
)

// Peers sends calls to other VMs.
type Peers interface {
	Call(ctx context.Context, vm coord.VMID, c *schema.Call) (*schema.Reply, error)
}

// ListSync fetches newer VM lists and returns the versions in force.
type ListSync interface {
	PullList(ctx context.Context, vm coord.VMID)
	Versions() (bundleVersion, listVersion uint64)
}

// Config holds the dependencies and settings of a Store.
type Config struct {
	Self coord.VMID
	// Incarnation is the incarnation of this VM's process.
	Incarnation uint64
	Limits      outcome.Config
	Peers       Peers
	Lists       ListSync
	Now         func() time.Time
}

// Store holds the outcome records of one VM. It is safe for concurrent use.
type Store struct {
	cfg Config

	mu      sync.Mutex
	table   *outcome.Table
	history *outcome.History
	others  []coord.VMID
	// generation counts the changes of the set of holders.
	generation int
	// answered holds the VMs that have sent their records in the current generation.
	answered map[coord.VMID]bool
}

// New returns an empty Store.
func New(cfg Config) *Store {
	return &Store{
		cfg: cfg, table: outcome.NewTable(cfg.Limits),
		history:  outcome.NewHistory(cfg.Self, cfg.Limits.Retention, cfg.Now()),
		answered: map[coord.VMID]bool{},
	}
}

// SetLimits applies the limits of a new bundle. Existing records keep their
// expiry.
func (s *Store) SetLimits(l outcome.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetLimits(l)
	s.history.SetRetention(l.Retention)
}

// SetMembers applies a new VM list. If the holders of records change, records are
// requested from all other VMs again.
func (s *Store) SetMembers(members []*membership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := outcome.NewHolderSet(members)
	if set.Equal(s.history.Current()) {
		return // only the state of a VM changed, such as to leaving; the holders are the same
	}
	s.history.Changed(s.cfg.Now(), set)
	s.others = s.others[:0:0]
	for _, m := range members {
		if m.ID != s.cfg.Self {
			s.others = append(s.others, m.ID)
		}
	}
	s.generation++
	s.answered = map[coord.VMID]bool{}
	s.completeRecoveryIfAllAnswered()
}

func (s *Store) completeRecoveryIfAllAnswered() {
	if len(s.answered) == len(s.others) {
		s.history.CompleteRecovery()
	}
}

// Stats returns the number of records, their size in bytes, and whether the store
// is synced: its records are complete and all other VMs have sent theirs since the
// set of holders last changed.
func (s *Store) Stats() (count, bytes int, synced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	synced = s.generation > 0 && s.history.Complete(s.cfg.Now()) && len(s.answered) == len(s.others)
	return s.table.Len(), s.table.Bytes(), synced
}

// syncInterval is the time between two rounds of requests for records.
const syncInterval = 500 * time.Millisecond

// Run requests records from the other VMs after each change of the set of holders,
// until each VM has answered. It returns when the context ends.
func (s *Store) Run(ctx context.Context) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		s.requestRecords(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// requestRecords requests records from each VM that has not answered in the current
// generation.
func (s *Store) requestRecords(ctx context.Context) {
	s.mu.Lock()
	generation := s.generation
	if !s.history.MayRequestRecords(s.cfg.Now()) {
		s.mu.Unlock()
		return
	}
	if len(s.answered) == len(s.others) && !s.history.Complete(s.cfg.Now()) {
		// The answers did not make this VM's records complete. Other VMs may have
		// become complete since, so all of them are queried again.
		s.answered = map[coord.VMID]bool{}
	}
	var pending []coord.VMID
	for _, vm := range s.others {
		if !s.answered[vm] {
			pending = append(pending, vm)
		}
	}
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, vm := range pending {
		wg.Go(func() { s.requestRecordsFrom(ctx, vm, generation) })
	}
	wg.Wait()
}

// holderTimeout is the deadline of one call to a holder. A vote that arrives later
// does not count.
const holderTimeout = outcome.VoteValidity

func (s *Store) requestRecordsFrom(ctx context.Context, vm coord.VMID, generation int) {
	reply, err := s.call(ctx, vm, &schema.Call{Body: &schema.Call_RecordSync{
		RecordSync: &schema.RecordSync{Vm: string(s.cfg.Self), Incarnation: s.cfg.Incarnation},
	}})
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range reply.GetRecords().GetRecords() {
		s.table.Merge(s.cfg.Now(), s.recordFromMessage(r))
	}
	if generation != s.generation {
		return
	}
	s.answered[vm] = true
	dump := reply.GetRecords()
	s.history.RecordResponse(vm, outcome.RecoverySource{Incarnation: dump.GetIncarnation(), Complete: dump.GetWhole(), ConfirmsFreshStart: dump.GetCertifies()})
	s.completeRecoveryIfAllAnswered()
}

// call sends a call together with the versions of this VM's bundle and list, so that
// a holder with an older list can update it before it answers.
func (s *Store) call(ctx context.Context, vm coord.VMID, c *schema.Call) (*schema.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	c.BundleVersion, c.ListVersion = s.cfg.Lists.Versions()
	return s.cfg.Peers.Call(ctx, vm, c)
}

func (s *Store) recordFromMessage(r *schema.Record) outcome.Record {
	answer := encodeAnswer(r.State.GetAnswer())
	return outcome.Record{
		Key: r.Key, Run: r.State.GetRunId(), Fingerprint: r.State.GetFingerprint(),
		Status: statusOf(r.State), Answer: answer,
		Since: s.cfg.Now().Add(-time.Duration(r.AgeMs) * time.Millisecond),
	}
}

func statusOf(s *schema.RecordState) outcome.Status {
	switch {
	case s.GetOpen():
		return outcome.Open
	case s.GetOutcome() == schema.Outcome_OUTCOME_NOT_RUN:
		return outcome.NotRun
	}
	return outcome.Done
}

func encodeAnswer(a *schema.StoredAnswer) []byte {
	if a == nil {
		return nil
	}
	data, err := proto.Marshal(a)
	if err != nil {
		return nil
	}
	return data
}

// DecodeAnswer decodes a stored answer.
func DecodeAnswer(data []byte) (*schema.StoredAnswer, error) {
	a := &schema.StoredAnswer{}
	if err := proto.Unmarshal(data, a); err != nil {
		return nil, errors.Wrap(err, "decode stored answer")
	}
	return a, nil
}

// ListStaleMessage is the error of a reply to a VM whose list differs from the
// holder's list after the holder has tried to update its own.
const ListStaleMessage = "vm list behind"

// Serve handles calls about records from another VM and returns the reply. It
// returns nil for all other calls.
func (s *Store) Serve(ctx context.Context, from coord.VMID, c *schema.Call) *schema.Reply {
	switch body := c.Body.(type) {
	case *schema.Call_RecordBegin:
		if rejection := s.checkListVersion(ctx, from, c); rejection != nil {
			return rejection
		}
		return &schema.Reply{Body: &schema.Reply_Record{Record: s.begin(body.RecordBegin)}}
	case *schema.Call_RecordFinish:
		s.finish(body.RecordFinish)
		return &schema.Reply{Body: &schema.Reply_Empty{Empty: &schema.Empty{}}}
	case *schema.Call_RecordSync:
		if rejection := s.checkListVersion(ctx, from, c); rejection != nil {
			return rejection
		}
		return &schema.Reply{Body: &schema.Reply_Records{Records: s.dump(body.RecordSync)}}
	}
	return nil
}

// checkListVersion ensures that both VMs decide based on the same VM list. It
// fetches the list of the calling VM if that list is newer. If the versions still
// differ, it returns an error reply; otherwise it returns nil.
func (s *Store) checkListVersion(ctx context.Context, from coord.VMID, c *schema.Call) *schema.Reply {
	if _, ownVersion := s.cfg.Lists.Versions(); c.ListVersion > ownVersion {
		s.cfg.Lists.PullList(ctx, from)
	}
	if _, ownVersion := s.cfg.Lists.Versions(); c.ListVersion != ownVersion {
		return &schema.Reply{Error: ListStaleMessage, ListVersion: ownVersion}
	}
	return nil
}

func (s *Store) begin(b *schema.RecordBegin) *schema.RecordState {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	result, r := s.table.Begin(now, b.Key, b.RunId, b.Fingerprint)
	state := stateMessage(r)
	state.Certain = s.history.Authoritative(now, b.Key)
	state.Verdict = int32(result)
	return state
}

func stateMessage(r *outcome.Record) *schema.RecordState {
	if r == nil {
		return &schema.RecordState{}
	}
	out := &schema.RecordState{Found: true, RunId: r.Run, Fingerprint: r.Fingerprint}
	switch r.Status {
	case outcome.Open:
		out.Open = true
	case outcome.NotRun:
		out.Outcome = schema.Outcome_OUTCOME_NOT_RUN
	case outcome.Done:
		out.Outcome = schema.Outcome_OUTCOME_RAN
	}
	if r.Answer != nil {
		if a, err := DecodeAnswer(r.Answer); err == nil {
			out.Answer = a
		}
	}
	return out
}

func (s *Store) finish(f *schema.RecordFinish) {
	status := outcome.Done
	if f.Outcome == schema.Outcome_OUTCOME_NOT_RUN {
		status = outcome.NotRun
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Finish(s.cfg.Now(), f.Key, f.RunId, status, encodeAnswer(f.Answer))
}

// dump returns the records that the requesting VM should hold as well, whether the
// records of this VM are complete, and whether this VM confirms that the requester
// started together with all other VMs, so that no earlier records exist.
func (s *Store) dump(requester *schema.RecordSync) *schema.RecordDump {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, vm := s.cfg.Now(), coord.VMID(requester.Vm)
	out := &schema.RecordDump{
		Whole: s.history.Complete(now), Incarnation: s.cfg.Incarnation,
		Certifies: s.history.ConfirmsFreshStart(vm, requester.Incarnation),
	}
	set := s.history.Current()
	if set == nil {
		return out
	}
	s.table.Each(func(r *outcome.Record) {
		for _, holder := range set.Holders(r.Key) {
			if holder == vm {
				out.Records = append(out.Records, &schema.Record{
					Key: r.Key, AgeMs: now.Sub(r.Since).Milliseconds(), State: stateMessage(r),
				})
			}
		}
	})
	return out
}
