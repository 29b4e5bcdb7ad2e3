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

// Admission requests targets from the scheduler of a service.
type Admission interface {
	// Admit waits for a decision. After a grant, Done or DonePlain must be called.
	Admit(ctx context.Context, r *AdmitRequest) Decision
	// Done reports how a granted model request ended. It does not block.
	Done(decision Decision, ending scheduler.Ending)
	// FirstEvent reports that the first event of a granted request has arrived. It does not block.
	FirstEvent(decision Decision)
	// ChosenLocally reports the target that this VM chose for a request without a decision of the
	// leader. Done or DonePlain must follow.
	ChosenLocally(r *AdmitRequest, decision Decision)
	// DonePlain reports how a request that was granted a target of a plain service ended, and how
	// long it took at the target. It does not block.
	DonePlain(decision Decision, ending balance.Ending, duration time.Duration)
}

// AdmitRequest is a request for a target.
type AdmitRequest struct {
	Service string
	// Plain is set if the service serves no models.
	Plain bool
	// Team is charged Cost for the request; empty: no team.
	Team    string
	Cost    float64
	Request *fleet.Request
	Route   *fleet.Route
	// Deadline is the time after which a response is useless.
	Deadline time.Time
	// FirstEventDeadline is when the caller gives up if no event has arrived. For a plain request
	// it is the time until which a response meets the route's latency objective.
	FirstEventDeadline time.Time
	// Age is the time since the caller's first attempt at this request.
	Age time.Duration
	// Content is the digest of the request's content.
	Content quarantine.Digest
	Exclude []string
	// BackedOff lists the targets that currently accept no requests from this VM.
	BackedOff []string
	// RateLimited lists the targets that limit the rate of their requests or are brittle. Only the
	// leader may choose them.
	RateLimited []string
	// SoftwareVersion is the only version of the targets' software that may process the request;
	// empty: any.
	SoftwareVersion string
}

// Decision is a grant that names a target, or a refusal if Target is empty.
type Decision struct {
	Service string
	Ticket  uint64
	// DecidedBy is the VM that made the decision.
	DecidedBy string
	// ByLeader is set if that VM decided as the leader, which bounds the requests at the target.
	ByLeader bool
	Target   string
	Address  string
	// SoftwareVersion is the version of the target's software in StoreCopy; empty: unknown.
	SoftwareVersion string
	AdapterVersion  int64
	// Priority is the request's priority at the target; 0 is the most urgent.
	Priority   int
	RetryAfter time.Duration
	Reason     string
	// OverQuota is set if the request is refused because its team exceeds its quota.
	OverQuota bool
	// LocalChoice is set if no leader decided: this VM chooses a target of a plain service from its
	// own observations.
	LocalChoice bool
	// StoreCopy is the copy of the store on which the target was chosen.
	StoreCopy events.StoreCopy
	// NetworkDelay is the time that the request for a decision and its response spent in the
	// network; 0: decided on this VM.
	NetworkDelay time.Duration
	// DecidedAt is the earliest time at which the decision can have been made.
	DecidedAt time.Time
	// RateLimit is the limit under which the target was granted; its Stamp is 0 if the target has
	// none.
	RateLimit ratelimit.Limit
	// RejectionLimit is that of rejections, with which the target crashes.
	RejectionLimit ratelimit.Limit
}
