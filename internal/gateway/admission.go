package gateway

import (
	"context"
	"time"

	"github.com/junctionfold/junctionfold/coord/balance"
	"github.com/junctionfold/junctionfold/coord/quarantine"
	"github.com/junctionfold/junctionfold/coord/ratelimit"
	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// Admission asks the scheduler of a service for targets.
type Admission interface {
	// Admit waits for a verdict. Done must follow a grant.
	Admit(ctx context.Context, r *AdmitRequest) Decision
	// Done tells how a granted request ended. It does not wait.
	Done(v Decision, how scheduler.Ending)
	// FirstEvent tells that the first event of a granted request has come. It does not
	// wait.
	FirstEvent(v Decision)
	// ChosenLocally tells which target this VM chose for a request that nobody gave a verdict on. Done
	// or DonePlain must follow.
	ChosenLocally(r *AdmitRequest, v Decision)
	// DonePlain tells how a request ended that was granted a target of a plain service, and
	// how long it took there. It does not wait.
	DonePlain(v Decision, how balance.Ending, took time.Duration)
}

// AdmitRequest is a request that wants a target.
type AdmitRequest struct {
	Service string
	// Plain says that the service serves no models.
	Plain bool
	// Team that is charged Cost for it; empty: none.
	Team    string
	Cost    float64
	Request *fleet.Request
	Route   *fleet.Route
	// Deadline after which an answer is worthless.
	Deadline time.Time
	// FirstEventDeadline is when the caller leaves if no event has come; of a plain request, until when
	// an answer is in time.
	FirstEventDeadline time.Time
	// Age is how long ago the caller first asked for this.
	Age time.Duration
	// Content stands for what it asks.
	Content quarantine.Digest
	Exclude []string
	// BackedOff are the targets that want no requests from this VM for now.
	BackedOff []string
	// RateLimited are the targets that limit the rate of their requests: only the VM that is asked may
	// choose them.
	RateLimited []string
}

// Decision is a target, or a refusal if Target is empty.
type Decision struct {
	Service string
	Ticket  uint64
	// DecidedBy is the VM that gave the verdict.
	DecidedBy      string
	Target         string
	Address        string
	AdapterVersion int64
	// Priority at the target; 0 is the most urgent.
	Priority   int
	RetryAfter time.Duration
	Reason     string
	// OverQuota says that it is refused for its team's quota.
	OverQuota bool
	// LocalChoice says that nobody was asked: this VM is to choose a target of a plain service by
	// what it saw itself.
	LocalChoice bool
	// StoreCopy is the copy of the store on which the target was chosen.
	StoreCopy events.StoreCopy
	// NetworkDelay is the time that question and verdict were under way; 0: decided here.
	NetworkDelay time.Duration
	// DecidedAt is when the verdict was given at the earliest.
	DecidedAt time.Time
	// RateLimit is the limit by which the target gets the request; its Stamp is 0 if it has none.
	RateLimit ratelimit.Limit
}
