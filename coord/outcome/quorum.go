package outcome

import "time"

// Decision is the next action of the VM that serves the caller.
type Decision int

// Decisions of a Quorum.
const (
	// Wait means to wait for more votes.
	Wait Decision = iota
	// Run means to run the request: two authoritative holders, or the only one, have recorded it.
	Run
	// Answer means to return the outcome of the earlier run.
	Answer
	// AwaitRun means to wait for the run that is open and to begin again then.
	AwaitRun
	// RefuseMismatch means that the key belongs to a different request.
	RefuseMismatch
	// RefuseUnknown means that too few authoritative holders responded or that the outcome of the
	// earlier run is unknown.
	RefuseUnknown
	// RefuseFull means that holders have no room for the record; this attempt did not run.
	RefuseFull
)

// Vote is the response of one holder.
type Vote struct {
	Result VoteResult
	// Authoritative is true if the holder cannot have missed any record of the key.
	Authoritative bool
	// Record is the holder's record of the key, for Busy and Repeat.
	Record *Record
}

// VoteValidity is how long votes count after their Begin was sent. A restarted holder requests
// records from the other holders only when this time has passed since its start. By then, each run
// that was granted with a vote of its previous process is recorded at another holder. Both sides
// measure only elapsed time, so a wrong clock does no harm, and the suspension of a VM makes a vote
// too old.
const VoteValidity = time.Second

// Quorum collects the votes on one Begin.
type Quorum struct {
	sentAt     time.Time
	holders    int
	granted    int
	busy       int
	full       int
	noResponse int
	responses  int
	prior      *Record
	openRun    *Record
	mismatch   bool
}

// NewQuorum returns a Quorum of the given number of holders, whose Begin requests are sent at now.
// A fleet of fewer than ReplicationFactor VMs has fewer holders. A quorum of one or two holders
// needs the grants of all of them.
func NewQuorum(now time.Time, holders int) *Quorum {
	return &Quorum{sentAt: now, holders: holders}
}

// RecordVote records the vote of a holder and returns the resulting decision.
func (q *Quorum) RecordVote(now time.Time, v Vote) Decision {
	q.responses++
	if now.Sub(q.sentAt) > VoteValidity {
		v.Authoritative = false
	}
	switch v.Result {
	case Mismatch:
		q.mismatch = true
	case Repeat:
		q.prior = v.Record
	case Busy:
		q.busy++
		q.openRun = v.Record
	case Full:
		q.full++
	case Granted:
		if v.Authoritative {
			q.granted++
		}
	}
	return q.Decide()
}

// RecordNoResponse records that a holder could not be reached and returns the resulting decision.
func (q *Quorum) RecordNoResponse() Decision {
	q.responses++
	q.noResponse++
	return q.Decide()
}

// Decide returns the decision that the votes so far allow. Information about an earlier run counts
// even from a holder that is not authoritative; only grants require an authoritative holder. Two
// authoritative grants suffice even if the third holder has another open run, since that run cannot
// have had two grants. A caller whose final decision is not Run must finish its own run as NotRun,
// since some holders may have recorded it.
func (q *Quorum) Decide() Decision {
	switch {
	case q.mismatch:
		return RefuseMismatch
	case q.prior != nil && q.prior.Answer != nil:
		return Answer
	case q.prior != nil && q.responses == q.holders:
		return RefuseUnknown
	case q.holders == 0:
		return RefuseUnknown
	case q.responses < q.holders:
		return Wait
	case q.granted >= min(QuorumSize, q.holders):
		return Run
	case q.busy > 0:
		return AwaitRun
	case q.full > 0:
		return RefuseFull
	}
	return RefuseUnknown
}

// Prior returns the record of an earlier run, finished or open, or nil if none was found.
func (q *Quorum) Prior() *Record {
	if q.prior != nil {
		return q.prior
	}
	return q.openRun
}
