// Package records keeps keyed requests from running twice: it is a holder of
// outcome records for other VMs, and asks the holders for the requests that this
// VM serves. The rules are those of coord/outcome.
//
// Lock order: Store.mu is taken alone.
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

// Peers asks other VMs.
type Peers interface {
	Call(ctx context.Context, vm coord.VMID, c *schema.Call) (*schema.Reply, error)
}

// ListSync catches up with a newer VM list.
type ListSync interface {
	PullList(ctx context.Context, vm coord.VMID)
	Versions() (bundleVersion, listVersion uint64)
}

// Config holds what a Store works with.
type Config struct {
	Self coord.VMID
	// Incarnation of this process.
	Incarnation uint64
	Limits      outcome.Config
	Peers       Peers
	Lists       ListSync
	Now         func() time.Time
}

// Store is one VM's records.
type Store struct {
	cfg Config

	mu      sync.Mutex
	table   *outcome.Table
	history *outcome.History
	others  []coord.VMID
	epoch   int
	asked   map[coord.VMID]bool
}

// New returns an empty Store.
func New(cfg Config) *Store {
	return &Store{
		cfg: cfg, table: outcome.NewTable(cfg.Limits),
		history: outcome.NewHistory(cfg.Self, cfg.Limits.Retention, cfg.Now()),
		asked:   map[coord.VMID]bool{},
	}
}

// SetLimits takes the limits of a new bundle. Records keep the expiry they were
// given.
func (s *Store) SetLimits(l outcome.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetLimits(l)
	s.history.SetRetention(l.Retention)
}

// SetMembers takes a new VM list.
func (s *Store) SetMembers(members []*membership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := outcome.NewHolderSet(members)
	if set.Equal(s.history.Current()) {
		return // a state changed, as when a VM leaves; the holders are the same
	}
	s.history.Changed(s.cfg.Now(), set)
	s.others = s.others[:0:0]
	for _, m := range members {
		if m.ID != s.cfg.Self {
			s.others = append(s.others, m.ID)
		}
	}
	s.epoch++
	s.asked = map[coord.VMID]bool{}
	s.settleIfAll()
}

func (s *Store) settleIfAll() {
	if len(s.asked) == len(s.others) {
		s.history.CompleteRecovery()
	}
}

// Stats returns how many records are held, their size, and whether the store is
// settled: it is whole and has asked every other VM since the last change.
func (s *Store) Stats() (count, bytes int, settled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	settled = s.epoch > 0 && s.history.Complete(s.cfg.Now()) && len(s.asked) == len(s.others)
	return s.table.Len(), s.table.Bytes(), settled
}

// syncEvery is the time between two rounds of asking for records.
const syncEvery = 500 * time.Millisecond

// Run asks the other VMs for records until each has answered, after every change
// of the list.
func (s *Store) Run(ctx context.Context) {
	ticker := time.NewTicker(syncEvery)
	defer ticker.Stop()
	for {
		s.syncOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// syncOnce asks every VM that has not answered since the last change.
func (s *Store) syncOnce(ctx context.Context) {
	s.mu.Lock()
	epoch := s.epoch
	if !s.history.MayRequestRecords(s.cfg.Now()) {
		s.mu.Unlock()
		return
	}
	if len(s.asked) == len(s.others) && !s.history.Complete(s.cfg.Now()) {
		// Not whole by these answers; others may have become so since.
		s.asked = map[coord.VMID]bool{}
	}
	var ask []coord.VMID
	for _, vm := range s.others {
		if !s.asked[vm] {
			ask = append(ask, vm)
		}
	}
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, vm := range ask {
		wg.Go(func() { s.syncWith(ctx, vm, epoch) })
	}
	wg.Wait()
}

// holderTimeout bounds one call to a holder.
const holderTimeout = outcome.VoteValidity

func (s *Store) syncWith(ctx context.Context, vm coord.VMID, epoch int) {
	reply, err := s.call(ctx, vm, &schema.Call{Body: &schema.Call_RecordSync{
		RecordSync: &schema.RecordSync{Vm: string(s.cfg.Self), Incarnation: s.cfg.Incarnation},
	}})
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range reply.GetRecords().GetRecords() {
		s.table.Merge(s.cfg.Now(), s.fromMessage(r))
	}
	if epoch != s.epoch {
		return
	}
	s.asked[vm] = true
	dump := reply.GetRecords()
	s.history.RecordResponse(vm, outcome.RecoverySource{Incarnation: dump.GetIncarnation(), Complete: dump.GetWhole(), ConfirmsFreshStart: dump.GetCertifies()})
	s.settleIfAll()
}

// call sends the list's version along, so that the holder is no further behind
// than this VM when it answers.
func (s *Store) call(ctx context.Context, vm coord.VMID, c *schema.Call) (*schema.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	c.BundleVersion, c.ListVersion = s.cfg.Lists.Versions()
	return s.cfg.Peers.Call(ctx, vm, c)
}

func (s *Store) fromMessage(r *schema.Record) outcome.Record {
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

// DecodeAnswer reads a stored answer.
func DecodeAnswer(data []byte) (*schema.StoredAnswer, error) {
	a := &schema.StoredAnswer{}
	if err := proto.Unmarshal(data, a); err != nil {
		return nil, errors.Wrap(err, "decode stored answer")
	}
	return a, nil
}

// ListStaleMessage tells a caller that its VM list is older than the holder's.
const ListStaleMessage = "vm list behind"

// Serve answers another VM's call about records. It returns nil for other calls.
func (s *Store) Serve(ctx context.Context, from coord.VMID, c *schema.Call) *schema.Reply {
	switch body := c.Body.(type) {
	case *schema.Call_RecordBegin:
		if refusal := s.matchLists(ctx, from, c); refusal != nil {
			return refusal
		}
		return &schema.Reply{Body: &schema.Reply_Record{Record: s.begin(body.RecordBegin)}}
	case *schema.Call_RecordFinish:
		s.finish(body.RecordFinish)
		return &schema.Reply{Body: &schema.Reply_Empty{Empty: &schema.Empty{}}}
	case *schema.Call_RecordSync:
		if refusal := s.matchLists(ctx, from, c); refusal != nil {
			return refusal
		}
		return &schema.Reply{Body: &schema.Reply_Records{Records: s.dump(body.RecordSync)}}
	}
	return nil
}

// matchLists makes both sides decide from the same list: this VM catches up, or
// the caller is told to.
func (s *Store) matchLists(ctx context.Context, from coord.VMID, c *schema.Call) *schema.Reply {
	if _, mine := s.cfg.Lists.Versions(); c.ListVersion > mine {
		s.cfg.Lists.PullList(ctx, from)
	}
	if _, mine := s.cfg.Lists.Versions(); c.ListVersion != mine {
		return &schema.Reply{Error: ListStaleMessage, ListVersion: mine}
	}
	return nil
}

func (s *Store) begin(b *schema.RecordBegin) *schema.RecordState {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	verdict, r := s.table.Begin(now, b.Key, b.RunId, b.Fingerprint)
	state := stateMessage(r)
	state.Certain = s.history.Authoritative(now, b.Key)
	state.Verdict = int32(verdict)
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

// dump returns the records that the asking VM should hold too.
func (s *Store) dump(asker *schema.RecordSync) *schema.RecordDump {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, vm := s.cfg.Now(), coord.VMID(asker.Vm)
	out := &schema.RecordDump{
		Whole: s.history.Complete(now), Incarnation: s.cfg.Incarnation,
		Certifies: s.history.ConfirmsFreshStart(vm, asker.Incarnation),
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
