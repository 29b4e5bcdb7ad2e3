// Package fleet defines the types that an edge VM uses to describe the system around it: the
// configuration that operators publish, the targets that announce themselves, the requests of
// callers, and the orders to targets. Adapters to a concrete platform translate its wire format
// into these types and back; they make no decisions.
package fleet

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/internal/answer"
)

// Config is one version of the operators' configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
	// Teams whose keys requests must carry; nil: requests carry no key.
	Teams *Teams
	// Findings name the routes, services and teams that could not be parsed, with their position.
	Findings []error
}

// Limits bound the requests of a caller.
type Limits struct {
	// MaxHeaderBytes bounds the size of a request's headers; 0: no limit.
	MaxHeaderBytes int
	// MaxBodyBytes bounds the size of a request's body; 0: no limit.
	MaxBodyBytes int64
	// HeaderTimeout is how long a caller may take to send the headers.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay open without a request.
	IdleTimeout time.Duration
}

// RouteKind determines how often a request may run.
type RouteKind int

// The kinds of route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// Streaming requests run at most once and are answered with an event stream.
	Streaming
)

// String returns the kind's name for logs.
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
	// Split lists the services that receive the requests. It is empty if the route could not be
	// parsed; its requests are rejected.
	Split []WeightedService
	// Timeout bounds the total duration of a request; 0: no limit.
	Timeout time.Duration
	// LatencyObjective is the latency that callers expect, for streams up to the first event; 0:
	// unknown.
	LatencyObjective time.Duration
	// IdleTimeout is how long callers of a stream wait for its first event, and for each later one,
	// before they disconnect; 0: until their deadline.
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

// LeadsTo reports whether the route sends requests to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Split, func(s WeightedService) bool { return s.Service == service })
}

// OnlyService returns the service that receives all requests of the route; empty: there are several.
func (r *Route) OnlyService() string {
	if len(r.Split) != 1 {
		return ""
	}
	return r.Split[0].Service
}

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a group of targets that do the same work.
type Service struct {
	Name string
	// MaxConnections is how many connections a target accepts from all VMs together; 0: unknown.
	MaxConnections int
	// Engine is nil for services that serve no models.
	Engine *Engine
}

// Engine describes the model engines of a service, which are all alike.
type Engine struct {
	// Batch is how many requests an engine runs at once.
	Batch int
	// CacheTokens is the memory for prompts and answers, in tokens.
	CacheTokens int
	// AdapterSlots is how many adapters an engine holds, including those that are loading.
	AdapterSlots int
	// WeightsMB is the memory for models and adapters together.
	WeightsMB float64
	// StoreLoadsPerSecond is the rate at which loads of models from the weight store may begin,
	// over all engines. Loads of adapters do not count.
	StoreLoadsPerSecond float64
	Models              []Model
}

// Model is a base model.
type Model struct {
	Name      string
	WeightsMB float64
	// LoadTime is the duration of a load from the weight store.
	LoadTime time.Duration
	// AdapterMB is the size of one adapter.
	AdapterMB float64
}

// TargetState is the state that a target reports.
type TargetState int

// The states of a target.
const (
	// TargetReady accepts requests.
	TargetReady TargetState = iota
	// TargetDraining completes its requests and accepts no new ones.
	TargetDraining
)

// String returns the state's name for logs.
func (s TargetState) String() string { return [...]string{"ready", "draining"}[s] }

// Target is one incarnation of a target, as it announces itself.
type Target struct {
	// ID changes with each start of the target.
	ID string
	// Started is the target's start time in Unix ms; 0: not reported.
	Started int64
	Service string
	Address string
	Zone    string
	// SoftwareVersion is the version of the target's software, not of its weights. Versions have no
	// order. Empty: not reported, which equals no version, not even another unreported one.
	SoftwareVersion string
	Slots           int
	State           TargetState
	Resident        []ResidentModel
}

// Runs reports whether the target runs a version of the software; empty: any version will do.
func (t *Target) Runs(softwareVersion string) bool {
	return softwareVersion == "" || softwareVersion == t.SoftwareVersion
}

// ResidentModel is a base model that a target holds, with its adapters.
type ResidentModel struct {
	Name     string
	Adapters []ResidentAdapter
}

// ResidentAdapter is an adapter that a target holds or is loading.
type ResidentAdapter struct {
	Name string
	// Version is 0 if the target did not report it.
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
	// ErrCompacted means that the store no longer keeps the changes after the revision: the caller
	// has to list again.
	ErrCompacted = errors.New("store no longer keeps these changes")
	// ErrStore marks every other failure of the store.
	ErrStore = errors.New("store call failed")
)

// Store reads the platform's store. Each method makes one or more calls and retries none of them.
type Store interface {
	// List returns all items with a prefix, all of one store epoch, and the revision from which to
	// watch.
	List(ctx context.Context, prefix string) (items []Item, revision Revision, err error)
	// Watch returns the changes after a revision as soon as there are any, or none after wait, and
	// the revision from which to continue. If that revision is of another epoch than after, the
	// changes must be discarded.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (items []Item, revision Revision, err error)
	// Revision reads the newest revision.
	Revision(ctx context.Context) (Revision, error)
}

// Decoded is the content of one item of the store. At most one field is set; none is set for items
// that this program does not use.
type Decoded struct {
	Config  *Config
	Target  *Target
	Version *AdapterVersion
}

// Request holds the parameters of a caller's request that its headers carry.
type Request struct {
	// ID of the caller's attempt.
	ID string
	// Adapter that the request is to run on; zero for services without models.
	Adapter AdapterRef
	// PromptTokens is the length of a model request's prompt, OutputTokens the maximum length of
	// its output.
	PromptTokens, OutputTokens int
	// Parts of the prompt, first to last.
	Parts []PromptPart
	// Remaining is how long the caller waits; 0: not specified.
	Remaining time.Duration
	// FirstAttemptID is the id of the caller's attempt that received the first event of the stream
	// that this request continues; empty: none is named.
	FirstAttemptID string
	// LastEventID is the last event of that stream that the caller has received; empty: none.
	LastEventID string
	// Key is the digest of the caller's key; nil if the request has no key, a malformed one, or
	// more than one.
	Key *KeyDigest
}

// ContinuesStream reports whether the request takes up a stream that broke off.
func (r *Request) ContinuesStream() bool { return r.FirstAttemptID != "" || r.LastEventID != "" }

// PartIDs returns the ids of the parts of the prompt, first to last.
func (r *Request) PartIDs() []string {
	ids := make([]string, len(r.Parts))
	for i, p := range r.Parts {
		ids[i] = p.ID
	}
	return ids
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart = coord.PromptPart

// CallMetadata is sent to a target in addition to the caller's own request.
type CallMetadata struct {
	// Target is the only target that may run the request.
	Target string
	// Remaining is the time that the target may use.
	Remaining time.Duration
	// Priority at the engine, from 0 to 9, with 0 first; negative: not sent.
	Priority int
	// AdapterVersion is the only version that may run the request; 0: any.
	AdapterVersion int64
	// LastEventID is the last event of the answer that the caller has received; empty: the caller's
	// own header applies.
	LastEventID string
	// Team is the name of the caller's team; empty: none.
	Team string
}

// Codec translates requests and answers.
type Codec interface {
	// DecodeRequest decodes a caller's headers.
	DecodeRequest(h http.Header) (Request, error)
	// ForwardRequest returns the caller's headers that are forwarded to a target. It omits
	// hop-by-hop headers, headers that this VM sets itself, and, if keyed, the caller's key.
	ForwardRequest(h http.Header, keyed bool) http.Header
	// ForwardResponse returns the headers of a target's answer that are forwarded to the caller.
	ForwardResponse(h http.Header) http.Header
	// Encode sets the headers of a call to a target; h comes from ForwardRequest.
	Encode(h http.Header, c CallMetadata)
	// DecodeAnswer decodes the head of a target's answer.
	DecodeAnswer(status int, h http.Header) answer.Head
	// Notice decodes the notice that an answer carries about its target, whichever request the
	// answer belongs to.
	Notice(status int, h http.Header) Notice
	// CanResume reports whether the answer with the headers next can continue an interrupted answer
	// with the headers first.
	CanResume(first, next http.Header) bool
	// Challenge sets the headers of an answer that reports a missing key.
	Challenge(h http.Header)
	// Refuse sets the headers of an answer that reports that the request was not run.
	Refuse(h http.Header, retryAfter time.Duration)
}
