package main

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["encoding"] = runEncoding }

// spoiltShare is the share of its answers that a faulty server spoils.
const spoiltShare = 0.03

// runEncoding lets half of the model servers spoil some of their streams: the answer has a
// Content-Encoding that no client asked for, so that it isn't the server's body. No client may get such
// an answer as a success.
func runEncoding(c *caseRun) ([]string, error) {
	err := c.begin(3, []map[string]any{modelRoute(false, 1), plainRoute("non_idempotent", 1)}, []map[string]any{modelService(), plainService()})
	if err != nil {
		return nil, err
	}
	for i := range 4 {
		e := newEngine(c.store, c.log, "models", fmt.Sprintf("i-%08x", 0xb0000001+i), []string{"hall-a", "hall-b", "hall-c"}[i%3], false)
		if i%2 == 0 && c.trouble {
			e.spoil = c.encode(e)
		}
		if err := e.start(); err != nil {
			return nil, err
		}
	}
	for i := range 2 {
		e := newEngine(c.store, c.log, "tickets", fmt.Sprintf("i-%08x", 0xc0000001+i), []string{"hall-a", "hall-b"}[i], true)
		if i == 0 && c.trouble {
			e.spoil = c.encode(e)
		}
		if err := e.start(); err != nil {
			return nil, err
		}
	}
	if err := c.startFleet(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	adapters := []string{"a1", "a2", "a3", "a4", "a5", "a6"}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, v := range c.fleet.vms {
		clients.Go(func() { c.client(v, adapters, i, 60*time.Millisecond, stop) })
		clients.Go(func() { c.client(v, nil, 0, 60*time.Millisecond, stop) })
	}
	time.Sleep(20 * time.Second)
	close(stop)
	clients.Wait()
	return c.encodedSuccesses(), nil
}

// encode returns a fault that spoils spoiltShare of the streams of a server.
func (c *caseRun) encode(e *engine) func(w http.ResponseWriter, r *http.Request) bool {
	var count, spoilt atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) bool {
		if n := count.Add(1); float64(spoilt.Load()) >= spoiltShare*float64(n) {
			return false
		}
		spoilt.Add(1)
		c.log.note("%s spoils its answer to %s", e.id, r.Header.Get("Request-Id"))
		_, adapter, _ := strings.Cut(r.Header.Get("Model"), "/")
		w.Header().Set(wire("seal"), seal(e.id, r.Header.Get("Request-Id")))
		var body bytes.Buffer
		z := gzip.NewWriter(&body)
		for i := 1; i <= e.events; i++ {
			_, _ = z.Write([]byte(eventText(i, adapter, 1, e.software)))
		}
		_ = z.Close()
		// A stream ends with an empty line.
		body.WriteString("\n\n")
		w.Header().Set("Content-Encoding", "gzip")
		w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
		_, _ = w.Write(body.Bytes())
		return true
	}
}

// encodedSuccesses lists the successes that clients got whose body isn't the server's.
func (c *caseRun) encodedSuccesses() (broken []string) {
	ok, failed := 0, 0
	for _, a := range c.answers {
		if a.Status == http.StatusBadGateway {
			failed++
		}
		if a.Status < 200 || a.Status > 299 || !a.Complete {
			continue
		}
		ok++
		if encoding := a.Header.Get("Content-Encoding"); encoding != "" {
			broken = append(broken, fmt.Sprintf("MIXED: %s got %d with Content-Encoding %s and %d bytes, which isn't the server's body", a.ID, a.Status, encoding, len(a.Body)))
		}
	}
	c.note("%d answers, %d complete successes, %d of them encoded; %d answers with status 502", len(c.answers), ok, len(broken), failed)
	return broken
}
