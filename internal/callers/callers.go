// Package callers serves the connections of HTTP clients that nobody controls. It counts what each client makes
// the VM hold and how long it stops, and applies the decisions of package intake: it closes connections of clients
// that give way or have stopped for too long, and lets the handlers of their requests end.
//
// callers.go connects the table of clients to an http.Server, conn.go observes each connection, head.go finds the
// ends of heads in what is received, body.go reads bodies within the limits, and limits.go derives the limits from the
// memory of the VM.
package callers

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/junctionfold/junctionfold/coord/intake"
)

// Config holds the settings and dependencies of a Tracker.
type Config struct {
	Limits intake.Limits
	// Timeouts returns the timeouts that are in force.
	Timeouts func() intake.Timeouts
	Now      func() time.Time
	// Admit reports whether a new connection is served; nil: all are.
	Admit func() bool
	// Wrap returns the connection on which the bytes of a new one are counted; nil: the same one.
	Wrap func(net.Conn) net.Conn
}

// Stats are counts of a Tracker.
type Stats struct {
	// Open is the number of open connections, and HeldBytes what clients hold beyond what connections account for.
	Open, HeldBytes int64
	// Unread is the number of connections that were closed before anything was read, Evicted that of clients that
	// had to give way, Refused that of clients for which there was no room, and Expired that of clients that stopped for
	// too long.
	Unread, Evicted, Refused, Expired int64
}

// Tracker tracks the clients of one server. Lock order: no other lock is acquired while Tracker.mu is held.
type Tracker struct {
	cfg Config

	mu    sync.Mutex
	table *intake.Table
	stats Stats
}

// NewOperatorTracker returns a Tracker for a listener for health checks, metrics or operators.
func NewOperatorTracker(timeouts func() intake.Timeouts, now func() time.Time) *Tracker {
	return NewTracker(Config{Limits: operatorLimits(), Timeouts: timeouts, Now: now})
}

// NewTracker returns a Tracker without clients.
func NewTracker(cfg Config) *Tracker {
	if cfg.Admit == nil {
		cfg.Admit = func() bool { return true }
	}
	if cfg.Wrap == nil {
		cfg.Wrap = func(c net.Conn) net.Conn { return c }
	}
	return &Tracker{cfg: cfg, table: intake.New(cfg.Limits)}
}

// Stats returns the counts.
func (t *Tracker) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Open, s.HeldBytes = int64(t.table.Clients()), t.table.Held()
	return s
}

// connKey is the context key of a client's connection.
type connKey struct{}

// Track makes a server report the phases of its clients. It must be called before the server serves a listener
// of this Tracker.
func (t *Tracker) Track(s *http.Server) {
	s.ConnState = connStateChanged
	connContext := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	s.Handler = serve(s.Handler)
}

// connOf returns the connection of a request; nil: it is not tracked.
func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

func connStateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.enter(intake.Working, time.Time{})
	case http.StateIdle:
		c.endRequest()
	case http.StateHijacked, http.StateClosed:
		c.remove()
	}
}

// serve calls h with requests whose heads there is room for. It bounds the time in which the server reads on after h
// has returned without reading the body to its end.
func serve(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		defer c.beginDiscard()
		if !c.hold(parsedHead, costOfHead(r)) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			http.Error(w, "no_room_for_head", http.StatusServiceUnavailable)
			return
		}
		if r.ContentLength != 0 {
			// net/http may read the body as soon as h writes a response.
			c.enter(intake.Body, time.Time{})
		}
		h.ServeHTTP(w, r)
	})
}

// Listener returns a listener that accepts the connections of clients.
func (t *Tracker) Listener(l net.Listener) net.Listener {
	setReceiveBuffer(l)
	return &listener{Listener: l, tracker: t}
}

type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept returns the next connection that is served, and closes the others.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.tracker.add(raw); c != nil {
			return c, nil
		}
		_ = raw.Close() // nothing was read, and the caller may try elsewhere
	}
}

// add adds a connection; nil: it is not served.
func (t *Tracker) add(raw net.Conn) *Conn {
	admitted := t.cfg.Admit()
	now := t.cfg.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !admitted {
		t.stats.Unread++
		return nil
	}
	c := &Conn{Conn: t.cfg.Wrap(raw), tracker: t}
	client, evicted, ok := t.table.Add(now, c)
	if !ok {
		t.stats.Unread++
		return nil
	}
	c.client = client
	if evicted != nil {
		t.stats.Evicted++
		go endingsOf([]*intake.Client{evicted}, errEvicted)[0].end() // Tracker.mu is held
	}
	return c
}

// SweepInterval is the time between two calls of Sweep.
const SweepInterval = 250 * time.Millisecond

// Sweep ends the clients that have stopped for too long. It must be called each SweepInterval.
func (t *Tracker) Sweep() {
	timeouts := t.cfg.Timeouts()
	t.mu.Lock()
	expired := t.table.Expire(t.cfg.Now(), timeouts)
	t.stats.Expired += int64(len(expired))
	endings := endingsOf(expired, errStopped)
	t.mu.Unlock()
	for _, e := range endings {
		e.end()
	}
}

// Run sweeps until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	ticker := time.NewTicker(SweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.Sweep()
		}
	}
}
