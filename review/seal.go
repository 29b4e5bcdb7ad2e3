package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["seal"] = runSeal }

// runSeal lets one of three plain servers spoil some of its answers: the Server-Seal is missing and the body
// has other bytes. No client may get such an answer as a success.
func runSeal(c *caseRun) ([]string, error) {
	err := c.begin(3, []map[string]any{plainRoute("non_idempotent", 1)}, []map[string]any{plainService()})
	if err != nil {
		return nil, err
	}
	for i := range 3 {
		e := newEngine(c.store, c.log, "tickets", fmt.Sprintf("i-%08x", 0xc0000001+i), []string{"hall-a", "hall-b", "hall-c"}[i], true)
		if i == 0 && c.trouble {
			e.spoil = c.dropSeal(e)
		}
		if err := e.start(); err != nil {
			return nil, err
		}
	}
	if err := c.startFleet(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, v := range c.fleet.vms {
		clients.Go(func() { c.client(v, nil, 0, 40*time.Millisecond, stop) })
	}
	time.Sleep(20 * time.Second)
	close(stop)
	clients.Wait()
	return c.unsealedSuccesses(), nil
}

// dropSeal returns a fault that spoils spoiltShare of the answers of a server.
func (c *caseRun) dropSeal(e *engine) func(w http.ResponseWriter, r *http.Request) bool {
	var count, spoilt atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) bool {
		if n := count.Add(1); float64(spoilt.Load()) >= spoiltShare*float64(n) {
			return false
		}
		spoilt.Add(1)
		c.log.note("%s spoils its answer to %s", e.id, r.Header.Get("Request-Id"))
		_, _ = w.Write([]byte("bytes that no server made"))
		return true
	}
}

// unsealedSuccesses lists the successes that clients got without a server's signature.
func (c *caseRun) unsealedSuccesses() (broken []string) {
	ok := 0
	for _, a := range c.answers {
		if a.Status < 200 || a.Status > 299 || !a.Complete {
			continue
		}
		ok++
		if a.Header.Get(wire("seal")) == "" {
			broken = append(broken, fmt.Sprintf("MIXED: %s got %d without Server-Seal, with the body %q", a.ID, a.Status, a.Body))
		}
	}
	c.note("%d answers, %d complete successes, %d of them without a signature", len(c.answers), ok, len(broken))
	return broken
}
