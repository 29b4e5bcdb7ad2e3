// Command embedded shows how to use the coordination library without the daemon.
// It drives the dispatcher of one target and the issuer of load permits from a
// loop with virtual time.
package main

import (
	"fmt"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/dispatch"
	"github.com/junctionfold/junctionfold/coord/loadpermit"
)

// host executes the actions that a dispatcher returns. A production host sends
// requests and orders to a target; this one prints each of them and completes it
// immediately.
type host struct {
	now          time.Time
	target       *dispatch.Dispatcher
	permits      *loadpermit.Issuer
	lastPermitID uint64
}

func main() {
	cfg := dispatch.DefaultConfig()
	cfg.Residency.Slots, cfg.Batch = 1, 4
	h := &host{
		now:     time.Unix(0, 0),
		target:  dispatch.New(cfg),
		permits: loadpermit.New(loadpermit.Config{PerSecond: 3, Concurrent: 1, MaxHoldTime: 5 * time.Second}),
	}
	for i, name := range []string{"plough-notes", "plough-notes", "storm-summary"} {
		adapter := coord.Adapter{Name: name, Version: "v1"}
		h.apply(h.target.Submit(h.now, dispatch.Request{
			Handle: uint64(i + 1), Adapter: adapter, Deadline: h.now.Add(30 * time.Second),
		}))
	}
	for range 30 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.grantPermits(h.permits.Tick(h.now))
		h.apply(h.target.Tick(h.now))
	}
}

// apply executes actions in order.
func (h *host) apply(actions []dispatch.Action) {
	for _, a := range actions {
		switch a.Kind {
		case dispatch.ActStart:
			fmt.Printf("%4d ms  start request %d on %s\n", h.elapsedMs(), a.Handle, a.Name)
			h.apply(h.target.Finished(h.now, a.Handle))
		case dispatch.ActRefuse:
			fmt.Printf("%4d ms  refuse request %d: %s\n", h.elapsedMs(), a.Handle, a.Cause)
		case dispatch.ActRequestPermit:
			h.lastPermitID++
			h.grantPermits(h.permits.Request(h.now, loadpermit.Request{ID: h.lastPermitID, Priority: a.Priority}))
		case dispatch.ActReturnPermit:
			h.grantPermits(h.permits.Cancel(h.now, h.lastPermitID))
		case dispatch.ActLoad:
			fmt.Printf("%4d ms  load %s\n", h.elapsedMs(), a.Name)
			h.apply(h.target.Loaded(h.now, a.Adapter))
		case dispatch.ActUnload:
			fmt.Printf("%4d ms  unload %s\n", h.elapsedMs(), a.Name)
			h.apply(h.target.Unloaded(h.now, a.Name, true))
		}
	}
}

// grantPermits reports each granted load permit to the dispatcher.
func (h *host) grantPermits(ids []uint64) {
	for range ids {
		h.apply(h.target.PermitGranted(h.now))
	}
}

// elapsedMs returns the virtual time since the start in milliseconds.
func (h *host) elapsedMs() int64 { return h.now.Sub(time.Unix(0, 0)).Milliseconds() }
