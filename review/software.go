package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["software"] = runSoftware }

const (
	// softwareEngines is the number of model servers, updated that of those which get other software, and
	// crashed that of those which crash.
	softwareEngines, updated, crashed = 6, 3, 1
	// storeDownTime is how long the store is down, updateGap the time between two updates.
	storeDownTime, updateGap = 4500 * time.Millisecond, 940 * time.Millisecond
)

// runSoftware updates idle model servers one after the other: each starts again under its id with other
// software, while the store is down, so that its entry is written later. Then the server that serves the
// streams crashes. No stream may hold events of two versions.
func runSoftware(c *caseRun) ([]string, error) {
	err := c.begin(3, []map[string]any{modelRoute(true, 3)}, []map[string]any{modelService()})
	if err != nil {
		return nil, err
	}
	var engines []*engine
	for i := range softwareEngines {
		e := newEngine(c.store, c.log, "models", fmt.Sprintf("i-%08x", 0xd0000001+i), []string{"hall-a", "hall-b", "hall-c"}[i%3], false)
		e.events, e.interval = 30, 50*time.Millisecond
		if err := e.start(); err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	if err := c.startFleet(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, v := range c.fleet.vms {
		clients.Go(func() { c.client(v, []string{"a1"}, 0, 250*time.Millisecond, stop) })
	}
	time.Sleep(5 * time.Second)
	start := time.Now()
	if c.trouble {
		c.store.setDown(true)
		c.note("the store is down")
	}
	var serving, next []*engine
	for _, e := range engines {
		switch {
		case e.orders() > 0:
			serving = append(serving, e)
		case len(next) < updated:
			restarted, err := c.update(e)
			if err != nil {
				return nil, err
			}
			next = append(next, restarted)
			if len(next) < updated {
				time.Sleep(updateGap)
			}
		}
	}
	c.note("%d servers got other software, %d serve the streams", len(next), len(serving))
	if c.trouble {
		for _, e := range serving[:min(crashed, len(serving))] {
			e.crash()
		}
	}
	time.Sleep(time.Until(start.Add(storeDownTime)))
	c.store.setDown(false)
	c.note("the store is up")
	for _, e := range next {
		e.register("ready")
	}
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	return c.mixedStreams(), nil
}

// update starts a server again with other software, under its id.
func (c *caseRun) update(e *engine) (*engine, error) {
	e.crash()
	next, err := e.restart("v2")
	if err == nil && !c.trouble {
		next.register("ready")
	}
	return next, err
}

// orders returns the number of orders that a server has accepted.
func (e *engine) orders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sequence
}

// mixedStreams lists the streams that hold events of two versions.
func (c *caseRun) mixedStreams() (broken []string) {
	whole := 0
	for _, a := range c.answers {
		if a.Status != 200 || !a.Complete {
			continue
		}
		whole++
		first, second := strings.Index(a.Body, " by v1 "), strings.Index(a.Body, " by v2 ")
		if first >= 0 && second >= 0 {
			broken = append(broken, fmt.Sprintf("ORDER: the stream of %s, sent to %s, holds events of v1 and of v2", a.ID, a.VM))
		}
	}
	c.note("%d answers, %d whole streams, %d of them of two versions", len(c.answers), whole, len(broken))
	return broken
}
