// Command embedded shows the coordination library without the daemon: one
// target's dispatcher and the giver of load turns, driven by a loop of its own
// with virtual time.
package main

import (
	"fmt"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/dispatch"
	"github.com/junctionfold/junctionfold/coord/loadpermit"
)

// host carries out what a dispatcher asks for. A real one sends requests and
// orders to a target; this one prints them and ends each at once.
type host struct {
	now    time.Time
	target *dispatch.Dispatcher
	turns  *loadpermit.Issuer
	asked  uint64
}

func main() {
	cfg := dispatch.DefaultConfig()
	cfg.Residency.Slots, cfg.Batch = 1, 4
	h := &host{
		now:    time.Unix(0, 0),
		target: dispatch.New(cfg),
		turns:  loadpermit.New(loadpermit.Config{PerSecond: 3, Concurrent: 1, MaxHoldTime: 5 * time.Second}),
	}
	for i, name := range []string{"plough-notes", "plough-notes", "storm-summary"} {
		adapter := coord.Adapter{Name: name, Version: "v1"}
		h.run(h.target.Submit(h.now, dispatch.Request{
			Handle: uint64(i + 1), Adapter: adapter, Deadline: h.now.Add(30 * time.Second),
		}))
	}
	for range 30 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.grant(h.turns.Tick(h.now))
		h.run(h.target.Tick(h.now))
	}
}

// run carries out actions in order.
func (h *host) run(acts []dispatch.Action) {
	for _, a := range acts {
		switch a.Kind {
		case dispatch.ActStart:
			fmt.Printf("%4d ms  start request %d on %s\n", h.millis(), a.Handle, a.Name)
			h.run(h.target.Finished(h.now, a.Handle))
		case dispatch.ActRefuse:
			fmt.Printf("%4d ms  refuse request %d: %s\n", h.millis(), a.Handle, a.Cause)
		case dispatch.ActRequestPermit:
			h.asked++
			h.grant(h.turns.Request(h.now, loadpermit.Request{ID: h.asked, Priority: a.Priority}))
		case dispatch.ActReturnPermit:
			h.grant(h.turns.Cancel(h.now, h.asked))
		case dispatch.ActLoad:
			fmt.Printf("%4d ms  load %s\n", h.millis(), a.Name)
			h.run(h.target.Loaded(h.now, a.Adapter))
		case dispatch.ActUnload:
			fmt.Printf("%4d ms  unload %s\n", h.millis(), a.Name)
			h.run(h.target.Unloaded(h.now, a.Name, true))
		}
	}
}

func (h *host) grant(ids []uint64) {
	for range ids {
		h.run(h.target.PermitGranted(h.now))
	}
}

func (h *host) millis() int64 { return h.now.Sub(time.Unix(0, 0)).Milliseconds() }
