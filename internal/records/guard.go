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

// Run is one guarded run of a keyed request.
type Run struct {
	Key string
	// ID names the VM that runs it and tells its tries apart.
	ID          string
	Fingerprint []byte
	holders     []coord.VMID
}

// runSeparator stands between the VM and the rest of a run's id.
const runSeparator = "/"

// NewRun returns a run of a key by this VM. The fingerprint covers what the
// caller asked for.
func (s *Store) NewRun(caller, key string, request ...[]byte) Run {
	h := sha256.New()
	for _, part := range request {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return Run{
		Key: caller + "\x00" + key, Fingerprint: h.Sum(nil),
		ID: string(s.cfg.Self) + runSeparator + strconv.FormatUint(s.cfg.Incarnation, 10) + runSeparator + uuid.NewString(),
	}
}

// ParseRunID returns the VM and its incarnation that a run's id names.
func ParseRunID(runID string) (vm coord.VMID, incarnation uint64) {
	parts := strings.Split(runID, runSeparator)
	if len(parts) < 2 {
		return "", 0
	}
	n, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return "", 0
	}
	return coord.VMID(parts[0]), n
}

// beginTries is how often Begin asks when lists differ between VMs.
const beginTries = 3

// Begin asks the holders to record that the run is about to start.
func (s *Store) Begin(ctx context.Context, run *Run) (outcome.Decision, *outcome.Record) {
	for range beginTries {
		s.mu.Lock()
		set := s.history.Current()
		s.mu.Unlock()
		if set == nil {
			return outcome.RefuseUnknown, nil
		}
		run.holders = set.Holders(run.Key)
		q, behind := s.collect(ctx, run)
		d := q.Decide()
		if behind == "" || d != outcome.RefuseUnknown {
			return d, q.Prior()
		}
		s.cfg.Lists.PullList(ctx, behind)
	}
	return outcome.RefuseUnknown, nil
}

// vote is one holder's answer with the VM to catch up with, if any.
type vote struct {
	vote   outcome.Vote
	silent bool
	ahead  coord.VMID
}

// collect asks all holders at once. It also returns a VM whose list is newer.
func (s *Store) collect(ctx context.Context, run *Run) (*outcome.Quorum, coord.VMID) {
	votes := make(chan vote, len(run.holders))
	for _, vm := range run.holders {
		go func() { votes <- s.ask(ctx, vm, run) }()
	}
	q := outcome.NewQuorum(s.cfg.Now(), len(run.holders))
	var ahead coord.VMID
	for range run.holders {
		v := <-votes
		if v.ahead != "" {
			ahead = v.ahead
		}
		if v.silent {
			q.RecordNoResponse()
		} else {
			q.RecordVote(s.cfg.Now(), v.vote)
		}
	}
	return q, ahead
}

func (s *Store) ask(ctx context.Context, vm coord.VMID, run *Run) vote {
	begin := &schema.RecordBegin{Key: run.Key, RunId: run.ID, Fingerprint: run.Fingerprint}
	if vm == s.cfg.Self {
		return vote{vote: s.voteOf(s.begin(begin), run.Key)}
	}
	reply, err := s.call(ctx, vm, &schema.Call{Body: &schema.Call_RecordBegin{RecordBegin: begin}})
	if err != nil {
		v := vote{silent: true}
		if strings.Contains(err.Error(), ListStaleMessage) {
			v.ahead = vm
		}
		return v
	}
	return vote{vote: s.voteOf(reply.GetRecord(), run.Key)}
}

func (s *Store) voteOf(r *schema.RecordState, key string) outcome.Vote {
	out := outcome.Vote{Result: outcome.VoteResult(r.GetVerdict()), Authoritative: r.GetCertain()}
	if r.GetFound() {
		rec := s.fromMessage(&schema.Record{Key: key, State: r})
		out.Record = &rec
	}
	return out
}

// Finish tells the holders how the run ended. It returns when each has answered
// or cannot be reached.
func (s *Store) Finish(ctx context.Context, run Run, result schema.Outcome, answer *schema.StoredAnswer) {
	f := &schema.RecordFinish{Key: run.Key, RunId: run.ID, Outcome: result, Answer: answer}
	done := make(chan struct{}, len(run.holders))
	for _, vm := range run.holders {
		go func() {
			s.tellFinish(ctx, vm, f)
			done <- struct{}{}
		}()
	}
	for range run.holders {
		<-done
	}
}

// finishTries is how often a holder is told the end of a run.
const finishTries = 2

func (s *Store) tellFinish(ctx context.Context, vm coord.VMID, f *schema.RecordFinish) {
	if vm == s.cfg.Self {
		s.finish(f)
		return
	}
	for range finishTries {
		if _, err := s.call(ctx, vm, &schema.Call{Body: &schema.Call_RecordFinish{RecordFinish: f}}); err == nil {
			return
		}
	}
}

// JoinPollInterval is the time between two looks at a run that another try has open.
const JoinPollInterval = 100 * time.Millisecond
