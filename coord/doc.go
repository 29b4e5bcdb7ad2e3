// Package coord is the coordination library of junctionfold. It holds the decisions
// that many entry VMs take together to run each request on exactly the adapter and
// version it names, at most once where that is required, and to return one complete
// response to the caller.
//
// # Event and action model
//
// Every part is a state machine without a clock, sockets, goroutines or global
// state. The caller passes in events with the current time and carries out the
// actions that are returned:
//
//	acts := d.Submit(now, req)
//	for _, a := range acts {
//		switch a.Kind {
//		case dispatch.ActStart:  // send the request to the target
//		case dispatch.ActLoad:   // order the target to load an adapter
//		}
//	}
//
// A part is not safe for concurrent use. The caller holds a lock while it passes in
// an event, and carries out the actions after releasing the lock. Time is a
// parameter, which lets a test express a paused process, a late response or a clock
// step as one row of a table.
//
// # The parts
//
//   - membership: which VMs are live, from the published list and heartbeats.
//   - ownership: which VM may give orders to a target, and which adapters it
//     must not evict because an earlier owner may still use them.
//   - placement: which targets should serve an adapter, composed of small filters,
//     scorers and a picker.
//   - residency: the adapter slots of one target, pinned adapters and the choice of
//     adapters to evict.
//   - dispatch: the request queue of one target. It combines residency, priorities,
//     deadlines and load order, and is the only place where a target's decisions are
//     made.
//   - loadpermit: which load may use the shared weight store next.
//   - attempt: the known state of one request attempt: not sent, maybe sent,
//     answered.
//   - outcome: records of keyed requests, which prevent a repeated request from
//     running twice.
//   - confver: bundle versions, which never decrease.
//
// The edge role uses these packages instead of ownership, placement and dispatch:
//
//   - roster: which VMs are live, by gossip.
//   - leadership: which VM gives orders, and under which fencing token.
//   - scheduler: which engine serves a model request, and which adapters each engine
//     holds.
//   - enginecost: how fast engines are, estimated from the times of first events.
//   - balance and retry: the choice among targets of plain services, and the retry
//     budget.
package coord

import (
	"strconv"
	"time"
)

// AbortedRequestTime is the longest time for which an engine may keep running a request
// after its connection was closed, as the users specify. The request's adapter is in use
// until then.
const AbortedRequestTime = 500 * time.Millisecond

// VMID identifies a VM by its name in the published VM list.
type VMID string

// RequestKey identifies a request by the VM that sends it and by a sequence number on that
// VM, which keeps increasing across restarts of the VM.
type RequestKey struct {
	VM     VMID
	Ticket uint64
}

// TargetID identifies a target by its name in the bundle.
type TargetID string

// Adapter identifies one version of an adapter. All fields must match exactly; there is
// no default version.
type Adapter struct {
	// Name is the name of the adapter, or of the base model in a request to the base
	// model itself.
	Name string
	// Version is the version of the adapter. It is empty for a request to the base model
	// itself.
	Version string
	// Revision distinguishes the contents that operators have published under the same
	// version name. Callers do not specify it; the adapter's name at a target includes it.
	Revision int32
}

// Model returns the form that callers use: name@version.
func (a Adapter) Model() string {
	if a.Version == "" {
		return a.Name
	}
	return a.Name + "@" + a.Version
}

// revisionSeparator separates a version from its revision. Names in the bundle cannot
// contain it.
const revisionSeparator = "+"

// String returns the adapter's name at a target, which differs for each revision.
func (a Adapter) String() string {
	if a.Revision == 0 {
		return a.Model()
	}
	return a.Model() + revisionSeparator + strconv.Itoa(int(a.Revision))
}

// IsBase reports whether a names a base model without an adapter.
func (a Adapter) IsBase() bool { return a.Version == "" }
