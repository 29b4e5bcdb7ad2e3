// Package coord is the coordination library of junctionfold: the decisions
// that many entry VMs take together so that each request runs on exactly the
// adapter and version it names, at most once where it must, and its caller
// gets one whole answer.
//
// # How the parts are driven
//
// Every part is a state machine. It has no clock, socket, goroutine or global
// state. The caller feeds events together with the time and carries out the
// actions that come back:
//
//	acts := d.Submit(now, req)
//	for _, a := range acts {
//		switch a.Kind {
//		case dispatch.ActStart:  // send the request to the target
//		case dispatch.ActLoad:   // order the target to load an adapter
//		}
//	}
//
// A part is not safe for concurrent use; the code around it holds a lock while
// it feeds an event and runs the actions after letting the lock go. Because
// time comes in as a value, a pause, a late answer or a clock step is one row
// of a test table.
//
// # The parts
//
//   - membership: which VMs are live, from the published list and heartbeats.
//   - ownership: which VM may give orders to a target, and which adapters it
//     must leave alone because an earlier owner may still use them.
//   - placement: which targets should serve an adapter, as small filters,
//     scorers and a picker.
//   - residency: the adapter slots of one target, with pins and victims.
//   - dispatch: the queue of one target; composes residency, priorities,
//     deadlines and load order. This is the one place where a target's
//     decisions come together.
//   - loadturn: who may use the shared weight store next.
//   - attempt: what is known of one request attempt: not sent, maybe sent,
//     answered.
//   - outcome: records of keyed requests, so that a repeated one does not run
//     twice.
//   - confver: bundle versions that never go back.
//
// The edge role uses these instead of ownership, placement and dispatch:
//
//   - roster: which VMs are live, by gossip.
//   - duty: which VM gives orders, and under which number.
//   - scheduler: which engine serves a model request, and which adapters each holds.
//   - enginecost: how fast engines are, learnt from their first events.
//   - balance and retry: targets of plain services, and the budget of repeats.
package coord

import (
	"strconv"
	"time"
)

// AbortedRequestTime is how long an engine may go on with a request after its connection
// was closed, by the users' rules. Its adapter is in use until then.
const AbortedRequestTime = 500 * time.Millisecond

// VMID names a VM, as the published list does.
type VMID string

// RequestKey names a request: the VM that asks, and its number there, which grows also over
// restarts of the VM.
type RequestKey struct {
	VM     VMID
	Ticket uint64
}

// TargetID names a target, as the bundle does.
type TargetID string

// Adapter is one adapter in one version. All parts are exact: there is no default
// version.
type Adapter struct {
	// Name of the adapter; for a request to the base model, the base's name.
	Name string
	// Version of the adapter; empty for a request to the base model itself.
	Version string
	// Revision tells a version that operators have made anew under its old name
	// from the one before. Callers do not name it; targets do.
	Revision int32
}

// Model gives the form that callers use: name@version.
func (a Adapter) Model() string {
	if a.Version == "" {
		return a.Name
	}
	return a.Name + "@" + a.Version
}

// revisionMark stands between a version and its revision. Names of the bundle
// cannot hold it.
const revisionMark = "+"

// String gives the name at a target, which differs for each revision.
func (a Adapter) String() string {
	if a.Revision == 0 {
		return a.Model()
	}
	return a.Model() + revisionMark + strconv.Itoa(int(a.Revision))
}

// IsBase reports whether a names a base model without an adapter.
func (a Adapter) IsBase() bool { return a.Version == "" }
