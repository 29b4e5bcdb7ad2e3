// Package fleet holds the types in which an edge VM speaks of its surroundings:
// the configuration that operators publish, the targets that announce
// themselves, requests of callers, and orders to targets. Adapters to a concrete
// platform translate its wire format into these types and back; they decide
// nothing.
package fleet

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord"
)

// Config is one version of the operators' configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
	// Teams whose keys requests must carry; nil: requests carry none.
	Teams *Teams
	// Findings name the routes, services and teams that could not be understood, by place.
	Findings []error
}

// Limits bound what a caller may send.
type Limits struct {
	// MaxHeaderBytes is the size of a request's head; 0: no limit.
	MaxHeaderBytes int
	// MaxBodyBytes is the size of a request's body; 0: no limit.
	MaxBodyBytes int64
	// HeaderTimeout is how long a caller may take to send the head.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay open without a request.
	IdleTimeout time.Duration
}

// RouteKind says how often a request may run.
type RouteKind int

// The kinds of route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// Streaming requests run at most once and are answered by events.
	Streaming
)

// String gives the kind's name for logs.
func (k RouteKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	}
	return "non_idempotent"
}

// Route sends requests for a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Split is where requests go; empty if the route was not understood, so that its
	// requests are refused.
	Split []WeightedService
	// Timeout is how long a request may take in all; 0: no limit.
	Timeout time.Duration
	// LatencyObjective is the latency (to the first event, for streams) that callers
	// expect; 0: unknown.
	LatencyObjective time.Duration
	// IdleTimeout is how long callers of a stream wait for its first event, and for each
	// after it, before they leave; 0: until their deadline.
	IdleTimeout time.Duration
	// MaxAttempts is how many targets may run one request; at least 1.
	MaxAttempts int
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Resumable streams may be continued at another target.
	Resumable bool
	// Public routes need no key.
	Public bool
}

// WeightedService is a service's part of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a group of targets that do the same work.
type Service struct {
	Name string
	// MaxConnections that a target accepts from all VMs together; 0: unknown.
	MaxConnections int
	// Engine is nil for services that serve no models.
	Engine *Engine
}

// Engine describes the model engines of a service; all of them are alike.
type Engine struct {
	// Batch is how many requests an engine runs at once.
	Batch int
	// CacheTokens is the memory for prompts and answers, in tokens.
	CacheTokens int
	// AdapterSlots is how many adapters an engine holds, loading ones included.
	AdapterSlots int
	// WeightsMB is the memory for models and adapters together.
	WeightsMB float64
	// StoreLoadsPerSecond is the rate at which loads of models from the weight
	// store may begin, over all engines. Adapters do not count.
	StoreLoadsPerSecond float64
	Models              []Model
}

// Model is a base model.
type Model struct {
	Name      string
	WeightsMB float64
	// LoadTime from the weight store.
	LoadTime time.Duration
	// AdapterMB is the size of one adapter.
	AdapterMB float64
}

// TargetState is what a target says of itself.
type TargetState int

// The states of a target.
const (
	// TargetReady takes requests.
	TargetReady TargetState = iota
	// TargetDraining finishes what it has.
	TargetDraining
)

// String gives the state's name for logs.
func (s TargetState) String() string { return [...]string{"ready", "draining"}[s] }

// Target is one incarnation of a target, as it announces itself.
type Target struct {
	// ID changes with each start of the target.
	ID string
	// Started is when it started, in Unix ms; 0: it does not say so.
	Started  int64
	Service  string
	Address  string
	Zone     string
	Slots    int
	State    TargetState
	Resident []ResidentModel
}

// ResidentModel is a base model that a target holds, with its adapters.
type ResidentModel struct {
	Name     string
	Adapters []ResidentAdapter
}

// ResidentAdapter is an adapter that a target holds or is loading.
type ResidentAdapter struct {
	Name string
	// Version is 0 when the target did not name it.
	Version int64
}

// AdapterRef names an adapter of a base model.
type AdapterRef = coord.AdapterRef

// AdapterVersion declares the newest version of an adapter.
type AdapterVersion struct {
	Ref     AdapterRef
	Version int64
}

// Item is an item of the store, or its removal.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	Deleted  bool
}

// Errors of a Store.
var (
	// ErrCompacted means that changes after the revision are no longer kept:
	// list again.
	ErrCompacted = errors.New("store no longer keeps these changes")
	// ErrStore marks every other failure of the store.
	ErrStore = errors.New("store call failed")
)

// Store reads the platform's store. Each method is one or more calls; none is
// repeated.
type Store interface {
	// List returns all items with a prefix, of one era, and the revision from which to watch on.
	List(ctx context.Context, prefix string) (items []Item, revision Revision, err error)
	// Watch returns changes after a revision as soon as there is one, or none
	// after wait; and the revision from which to go on. That may be of another era than after: the
	// changes are of no use then.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (items []Item, revision Revision, err error)
	// Revision reads the newest revision.
	Revision(ctx context.Context) (Revision, error)
}

// Decoded is what one item of the store holds. At most one field is set; none,
// for items that this program has no use for.
type Decoded struct {
	Config  *Config
	Target  *Target
	Version *AdapterVersion
}

// Request is what a caller asks, beyond its HTTP form.
type Request struct {
	// ID of the caller's attempt.
	ID string
	// Adapter names what is to run it; zero for services without models.
	Adapter AdapterRef
	// PromptTokens and OutputTokens (at most) of a model request.
	PromptTokens, OutputTokens int
	// Parts of the prompt, first to last.
	Parts []PromptPart
	// Remaining is how long the caller waits; 0: not said.
	Remaining time.Duration
	// Key is the digest of the caller's key; nil: there is none, or not in the form that is
	// asked for, or more than one.
	Key *KeyDigest
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart = coord.PromptPart

// CallMetadata is what is sent to a target on top of the caller's own request.
type CallMetadata struct {
	// Target that alone may run it.
	Target string
	// Remaining is the time that the target may use.
	Remaining time.Duration
	// Priority at the engine, 0 to 9, 0 first; negative: not sent.
	Priority int
	// AdapterVersion that alone may run it; 0: any.
	AdapterVersion int64
	// LastEventID is the last event of the answer that the caller has; empty: as the caller
	// said.
	LastEventID string
	// Team is the name of the caller's team; empty: none.
	Team string
}

// AnswerClass says what an answer of a target means.
type AnswerClass int

// The classes of answers.
const (
	// Answered: the target ran the request, with whatever status.
	Answered AnswerClass = iota
	// Busy: not run, and the target may have room later.
	Busy
	// Misrouted: not run; another process has the address, or the target does
	// not hold what the request needs.
	Misrouted
	// Mismatched: this answers another request.
	Mismatched
)

// Codec translates requests and answers.
type Codec interface {
	// DecodeRequest decodes a caller's headers.
	DecodeRequest(h http.Header) (Request, error)
	// ForwardRequest returns the caller's headers that go on to a target: neither those of
	// the connection nor those that are ours to set, nor the key where keys are asked for.
	ForwardRequest(h http.Header, keyed bool) http.Header
	// ForwardResponse returns the headers of a target's answer that go on to the caller.
	ForwardResponse(h http.Header) http.Header
	// Encode sets the headers of a call to a target; h comes from Forward.
	Encode(h http.Header, c CallMetadata)
	// Classify says what a target's answer to the request id means.
	Classify(id string, status int, h http.Header) AnswerClass
	// Notice reads what an answer says of its target, whatever request it is to.
	Notice(status int, h http.Header) Notice
	// CanResume reports whether an answer can go on where another one, with the head
	// first, broke off.
	CanResume(first, next http.Header) bool
	// Challenge sets the headers of an answer that a key is missing.
	Challenge(h http.Header)
	// Refuse sets the headers of an answer that the request was not run.
	Refuse(h http.Header, retryAfter time.Duration)
}
