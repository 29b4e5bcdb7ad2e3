package outcome

import "time"

// Decision is what the VM that serves the caller does next.
type Decision int

// The decisions of a Quorum.
const (
	// Wait for more answers.
	Wait Decision = iota
	// Run the request: two certain holders have recorded it.
	Run
	// Answer with the outcome of the earlier run.
	Answer
	// AwaitRun waits for the run that is open, then asks again.
	AwaitRun
	// RefuseMismatch: the key belongs to a different request.
	RefuseMismatch
	// RefuseUnknown: too few certain holders answered, or the outcome of the
	// earlier run is not known.
	RefuseUnknown
	// RefuseFull: holders have no room for the record; this try did not run.
	RefuseFull
)

// Vote is one holder's answer.
type Vote struct {
	Result VoteResult
	// Authoritative says that the holder can have missed no record of the key.
	Authoritative bool
	// Record is what the holder had, for Busy and Repeat.
	Record *Record
}

// VoteValidity is how long a vote counts after its Begin was sent. A holder that
// starts anew asks the others for records only once this time has passed since
// its start: by then each run that was granted with a vote of its earlier process
// stands at another holder. Only the time that passes at each of the two counts,
// so a clock that is wrong does no harm, and a pause makes a vote too old.
const VoteValidity = time.Second

// Quorum collects the answers to one Begin.
type Quorum struct {
	sent    time.Time
	holders int
	granted int
	open    int
	full    int
	silent  int
	heard   int
	prior   *Record
	other   *Record
	clash   bool
}

// NewQuorum returns a Quorum over that many holders, whose Begins are sent now. A
// fleet of fewer than
// Holders VMs has fewer; all of them are needed then.
func NewQuorum(now time.Time, holders int) *Quorum {
	return &Quorum{sent: now, holders: holders}
}

// RecordVote takes a holder's answer.
func (q *Quorum) RecordVote(now time.Time, v Vote) Decision {
	q.heard++
	if now.Sub(q.sent) > VoteValidity {
		v.Authoritative = false
	}
	switch v.Result {
	case Mismatch:
		q.clash = true
	case Repeat:
		q.prior = v.Record
	case Busy:
		q.open++
		q.other = v.Record
	case Full:
		q.full++
	case Granted:
		if v.Authoritative {
			q.granted++
		}
	}
	return q.Decide()
}

// RecordNoResponse takes the failure to reach a holder.
func (q *Quorum) RecordNoResponse() Decision {
	q.heard++
	q.silent++
	return q.Decide()
}

// Decide returns what the answers so far allow. What any holder knows of an
// earlier run counts, certain or not; only a grant needs certainty. Two certain
// grants suffice even when the third holder has another open run: that run
// cannot have had two. Whoever is not told to Run must finish its own run as
// NotRun, since some holders may have recorded it.
func (q *Quorum) Decide() Decision {
	switch {
	case q.clash:
		return RefuseMismatch
	case q.prior != nil && q.prior.Answer != nil:
		return Answer
	case q.prior != nil && q.heard == q.holders:
		return RefuseUnknown
	case q.holders == 0:
		return RefuseUnknown
	case q.heard < q.holders:
		return Wait
	case q.granted >= min(QuorumSize, q.holders):
		return Run
	case q.open > 0:
		return AwaitRun
	case q.full > 0:
		return RefuseFull
	}
	return RefuseUnknown
}

// Prior returns the record of an earlier run, finished or open; nil when none
// was found.
func (q *Quorum) Prior() *Record {
	if q.prior != nil {
		return q.prior
	}
	return q.other
}
