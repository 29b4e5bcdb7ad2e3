package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["version"] = runVersion }

const (
	// versionBound is version_ms of the deployment.
	versionBound = 5 * time.Second
	// versionEngines and versionAdapters are the model servers and the adapters in use: 20 of the 21 places
	// of each server.
	versionEngines, versionAdapters = 12, 240
	// killAfter is when the leader is killed, after the first new version was acknowledged.
	killAfter = 4700 * time.Millisecond
	// darkTime is how long its machine is without power.
	darkTime = 3500 * time.Millisecond
)

// runVersion declares new versions of the adapters in use and kills the leader while the servers still
// load them. No request of the other machines may begin on an older version later than versionBound after
// the newer one was acknowledged.
func runVersion(c *caseRun) ([]string, error) {
	err := c.begin(7, []map[string]any{modelRoute(false, 1)}, []map[string]any{modelService()})
	if err != nil {
		return nil, err
	}
	for i := range versionEngines {
		e := newEngine(c.store, c.log, "models", fmt.Sprintf("i-%08x", 0xa0000001+i), []string{"hall-a", "hall-b", "hall-c"}[i%3], false)
		e.events = 2
		if err := e.start(); err != nil {
			return nil, err
		}
	}
	if err := c.startFleet(); err != nil {
		return nil, err
	}
	var adapters []string
	for i := range versionAdapters {
		adapters = append(adapters, fmt.Sprintf("a%d", i+1))
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, v := range c.fleet.vms {
		clients.Go(func() { c.client(v, adapters, i*versionAdapters/7, 30*time.Millisecond, stop) })
	}
	time.Sleep(24 * time.Second)
	leader := c.fleet.find(c.log.lastHolder())
	if leader == nil {
		return nil, fmt.Errorf("no machine has given an order")
	}
	acked := map[string]time.Time{}
	start := time.Now()
	for _, a := range adapters {
		acked[a] = c.store.put(wire("version")+model+"."+a, map[string]any{"model": model, "adapter": a, "version": 2})
	}
	c.note("the store has acknowledged version 2 of %d adapters, the last one after %d ms", len(acked), time.Since(start).Milliseconds())
	time.Sleep(time.Until(start.Add(killAfter)))
	if c.trouble {
		leader.kill()
		c.note("killed %s, which gave the last order", leader.id)
		time.Sleep(darkTime)
		if err := c.fleet.start(leader); err != nil {
			return nil, err
		}
		c.note("started %s", leader.id)
	}
	time.Sleep(time.Until(start.Add(killAfter + 6*time.Second)))
	close(stop)
	clients.Wait()
	return c.staleRuns(leader, acked), nil
}

// client sends requests to a machine at an interval until stop, for one adapter after the other, or to the
// plain service if there are none.
func (c *caseRun) client(v *vm, adapters []string, offset int, interval time.Duration, stop chan struct{}) {
	var open sync.WaitGroup
	defer open.Wait()
	for n := offset; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		open.Go(func() {
			if len(adapters) == 0 {
				c.send(v, request{id: newID(), method: "POST", path: "/tickets/x", body: "{}", deadline: 1500 * time.Millisecond})
				return
			}
			c.send(v, request{id: newID(), method: "POST", path: "/chat/x", adapter: adapters[n%len(adapters)], body: "{}", deadline: 10 * time.Second})
		})
	}
}

// staleRuns lists the runs that began too late on an older version, except those of requests that the
// killed machine took.
func (c *caseRun) staleRuns(killed *vm, acked map[string]time.Time) (broken []string) {
	sentTo := map[string]string{}
	for _, a := range c.answers {
		sentTo[a.ID] = a.VM
	}
	old := 0
	for _, r := range c.log.all() {
		age := r.At.Sub(acked[r.Adapter])
		if r.Version >= 2 || age < 0 {
			continue
		}
		old++
		if age > versionBound && sentTo[r.ID] != killed.id {
			broken = append(broken, fmt.Sprintf("VERSION: %s, sent to %s, began at %s on %s@%d, %d ms after version 2 was acknowledged",
				r.ID, sentTo[r.ID], r.Server, r.Adapter, r.Version, age.Milliseconds()))
		}
	}
	c.note("%d runs began on version 1 after version 2 was acknowledged, %d of them too late", old, len(broken))
	return broken
}
