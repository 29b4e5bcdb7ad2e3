package records

import (
	"context"
	"crypto/sha256"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/outcome"
	"github.com/junctionfold/junctionfold/schema"
)

// Run is one attempt to run a request that has an idempotency key.
type Run struct {
	Key string
	// ID identifies the run. It contains the VM that runs it, the incarnation of that
	// VM's process and a UUID.
	ID string
	// Fingerprint is a hash of the request. Reuse of a key with a different
	// fingerprint is detected as a mismatch.
	Fingerprint []byte
	holders     []coord.VMID
}

// runIDSeparator separates the VM, its incarnation and the UUID in a run id.
const runIDSeparator = "/"

// NewRun returns a new run by this VM for a caller's idempotency key. The
// fingerprint covers all parts of request.
func (s *Store) NewRun(caller, key string, request ...[]byte) Run {
	h := sha256.New()
	for _, part := range request {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return Run{
		Key: caller + "\x00" + key, Fingerprint: h.Sum(nil),
		ID: string(s.cfg.Self) + runIDSeparator + strconv.FormatUint(s.cfg.Incarnation, 10) + runIDSeparator + uuid.NewString(),
	}
}

// ParseRunID returns the VM and the incarnation from a run id. For a malformed id
// it returns zero values.
func ParseRunID(runID string) (vm coord.VMID, incarnation uint64) {
	parts := strings.Split(runID, runIDSeparator)
	if len(parts) < 2 {
		return "", 0
	}
	n, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return "", 0
	}
	return coord.VMID(parts[0]), n
}

// maxBeginAttempts bounds the rounds of voting in Begin while the VM lists of this
// VM and the holders differ.
const maxBeginAttempts = 3

// Begin requests the holders of the run's key to record that the run is about to
// start. It returns the decision of their quorum and the record of an earlier run,
// if there is one. If the decision is RefuseUnknown and a holder has a newer VM
// list, it fetches that list and tries again.
func (s *Store) Begin(ctx context.Context, run *Run) (outcome.Decision, *outcome.Record) {
	for range maxBeginAttempts {
		s.mu.Lock()
		set := s.history.Current()
		s.mu.Unlock()
		if set == nil {
			return outcome.RefuseUnknown, nil
		}
		run.holders = set.Holders(run.Key)
		q, newerListVM := s.collectVotes(ctx, run)
		d := q.Decide()
		if newerListVM == "" || d != outcome.RefuseUnknown {
			return d, q.Prior()
		}
		s.cfg.Lists.PullList(ctx, newerListVM)
	}
	return outcome.RefuseUnknown, nil
}

// holderResponse is the result of requesting a vote from one holder.
type holderResponse struct {
	vote       outcome.Vote
	noResponse bool
	// newerListVM is the holder if it has a newer VM list, otherwise empty.
	newerListVM coord.VMID
}

// collectVotes requests votes from all holders in parallel. It also returns a
// holder that has a newer VM list, or an empty id.
func (s *Store) collectVotes(ctx context.Context, run *Run) (*outcome.Quorum, coord.VMID) {
	responses := make(chan holderResponse, len(run.holders))
	for _, vm := range run.holders {
		go func() { responses <- s.requestVote(ctx, vm, run) }()
	}
	q := outcome.NewQuorum(s.cfg.Now(), len(run.holders))
	var newerListVM coord.VMID
	for range run.holders {
		resp := <-responses
		if resp.newerListVM != "" {
			newerListVM = resp.newerListVM
		}
		if resp.noResponse {
			q.RecordNoResponse()
		} else {
			q.RecordVote(s.cfg.Now(), resp.vote)
		}
	}
	return q, newerListVM
}

func (s *Store) requestVote(ctx context.Context, vm coord.VMID, run *Run) holderResponse {
	begin := &schema.RecordBegin{Key: run.Key, RunId: run.ID, Fingerprint: run.Fingerprint}
	if vm == s.cfg.Self {
		return holderResponse{vote: s.toVote(s.begin(begin), run.Key)}
	}
	reply, err := s.call(ctx, vm, &schema.Call{Body: &schema.Call_RecordBegin{RecordBegin: begin}})
	if err != nil {
		resp := holderResponse{noResponse: true}
		if strings.Contains(err.Error(), ListStaleMessage) {
			resp.newerListVM = vm
		}
		return resp
	}
	return holderResponse{vote: s.toVote(reply.GetRecord(), run.Key)}
}

func (s *Store) toVote(r *schema.RecordState, key string) outcome.Vote {
	out := outcome.Vote{Result: outcome.VoteResult(r.GetVerdict()), Authoritative: r.GetCertain()}
	if r.GetFound() {
		rec := s.recordFromMessage(&schema.Record{Key: key, State: r})
		out.Record = &rec
	}
	return out
}

// Finish reports the result of the run to its holders. It returns after each
// holder has acknowledged the report or could not be reached.
func (s *Store) Finish(ctx context.Context, run Run, result schema.Outcome, answer *schema.StoredAnswer) {
	f := &schema.RecordFinish{Key: run.Key, RunId: run.ID, Outcome: result, Answer: answer}
	done := make(chan struct{}, len(run.holders))
	for _, vm := range run.holders {
		go func() {
			s.sendFinish(ctx, vm, f)
			done <- struct{}{}
		}()
	}
	for range run.holders {
		<-done
	}
}

// maxFinishAttempts bounds the attempts to report the result of a run to a holder.
const maxFinishAttempts = 2

func (s *Store) sendFinish(ctx context.Context, vm coord.VMID, f *schema.RecordFinish) {
	if vm == s.cfg.Self {
		s.finish(f)
		return
	}
	for range maxFinishAttempts {
		if _, err := s.call(ctx, vm, &schema.Call{Body: &schema.Call_RecordFinish{RecordFinish: f}}); err == nil {
			return
		}
	}
}

// JoinPollInterval is the time between two polls for the result of a run with the
// same key that is still open.
const JoinPollInterval = 100 * time.Millisecond
