package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scripts["large"] = playLarge }

// Figures of the script "large".
const (
	largeServerCount = 3
	// largeBytes is the length of the answers. A server sends one in largeAlone if it sends no other; answers at the same
	// time share its link.
	largeBytes = 600 << 10
	largeAlone = 25 * time.Millisecond
	largeParts = 25
	// largePerSecond is the usual traffic, and largeBurst the factor of the burst.
	largePerSecond = 60
	largeBurst     = 2.4
	// largeConns is the number of connections that clients keep.
	largeConns = 60
	// lostAllowed is the number of requests that the rule allows.
	lostAllowed = 3
)

// sharedLink paces the answers of a server.
type sharedLink struct{ sending atomic.Int64 }

// send writes a body part by part; each part takes the longer, the more answers are being sent.
func (l *sharedLink) send(w http.ResponseWriter) error {
	l.sending.Add(1)
	defer l.sending.Add(-1)
	part := []byte(strings.Repeat("x", largeBytes/largeParts))
	due := time.Now()
	for range largeParts {
		if _, err := w.Write(part); err != nil {
			return err
		}
		_ = http.NewResponseController(w).Flush()
		due = due.Add(time.Duration(l.sending.Load()) * largeAlone / largeParts)
		time.Sleep(time.Until(due))
	}
	return nil
}

func startLargeServers(f *fleet) error {
	for i := range largeServerCount {
		link := &sharedLink{}
		s := &server{id: fmt.Sprintf("p-%04d", i), service: "app", zone: zones[i%len(zones)], slots: 6, record: f.record, store: f.store}
		s.respond = func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "application/octet-stream")
			w.Header().Set("Content-Length", fmt.Sprint(largeBytes/largeParts*largeParts))
			if err := link.send(w); err != nil {
				f.record.line("server %s cannot send all of %s: %v", s.id, r.Header.Get("Request-Id"), err)
			}
		}
		if err := startServer(s); err != nil {
			return err
		}
	}
	return nil
}

// playLarge lets many users come at once while clients fetch answers of some hundred kilobytes on kept connections.
func playLarge(f *fleet, trouble bool) (broken bool, err error) {
	if err := startLargeServers(f); err != nil {
		return false, err
	}
	f.store.put(wire["configKey"], plainConfig())
	if err := f.startVMs(); err != nil {
		return false, err
	}
	idle := make(chan *keptConn, largeConns)
	for i := range largeConns {
		idle <- &keptConn{vm: f.vms[i%len(f.vms)]}
	}
	var wait sync.WaitGroup
	var complete, refused, failed, lost atomic.Int64
	begin := time.Now()
	for time.Since(begin) < 16*time.Second {
		rate := float64(largePerSecond)
		if at := time.Since(begin); trouble && at > 6*time.Second && at < 10500*time.Millisecond {
			rate *= largeBurst
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
		var k *keptConn
		select {
		case k = <-idle:
		default:
			continue // all connections are in use
		}
		wait.Go(func() {
			defer func() { idle <- k }()
			o, isKept, err := k.get()
			if err != nil {
				f.record.line("no connection to %s: %v", k.vm.id, err)
				return
			}
			f.record.line("client at %s, kept connection: %v: %s", k.vm.id, isKept, o)
			switch {
			case o.status == http.StatusOK && o.complete:
				complete.Add(1)
			case o.status == http.StatusServiceUnavailable && o.complete:
				refused.Add(1)
			case o.complete:
				failed.Add(1)
			case isKept:
				lost.Add(1)
			}
		})
	}
	wait.Wait()
	f.record.say("%d answers complete, %d refused, %d failed, %d kept connections closed in the middle of the answer",
		complete.Load(), refused.Load(), failed.Load(), lost.Load())
	if complete.Load() == 0 {
		return false, fmt.Errorf("no answer was complete")
	}
	return lost.Load() > lostAllowed, nil
}

// keptConn is a connection of a client that is kept for many requests.
type keptConn struct {
	vm   *vm
	conn *conn
}

// get fetches an answer. isKept reports whether the connection has served a request before.
func (k *keptConn) get() (o outcome, isKept bool, err error) {
	if isKept = k.conn != nil; !isKept {
		if k.conn, err = dial(k.vm.front); err != nil {
			k.conn = nil
			return o, false, err
		}
	}
	o = k.conn.do(attempt{method: http.MethodGet, host: "app.example", path: "/get/tile", deadline: time.Second}, newID())
	if !o.complete || o.closing {
		_ = k.conn.raw.Close()
		k.conn = nil
	}
	return o, isKept, nil
}
