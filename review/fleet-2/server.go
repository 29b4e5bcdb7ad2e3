package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is the time between two writes of a server to the store.
const heartbeatInterval = 1200 * time.Millisecond

// server is a server of a service: a plain one, or one with an engine.
type server struct {
	id, service, zone, address string
	slots                      int
	record                     *recorder
	store                      *store
	born                       int64
	engine                     *engine
	// respond answers a request that runs; nil for engines.
	respond func(w http.ResponseWriter, r *http.Request)

	listener net.Listener
	http     *http.Server
	stop     context.CancelFunc

	mu       sync.Mutex
	running  int
	sequence int
}

// startServer starts the server and its announcements.
func startServer(s *server) error {
	var err error
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	s.address, s.born = s.listener.Addr().String(), time.Now().UnixMilli()
	s.http = &http.Server{Handler: s}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go func() { _ = s.http.Serve(s.listener) }()
	s.announce()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(heartbeatInterval):
				s.announce()
			}
		}
	}()
	return nil
}

// announce writes the server's entry.
func (s *server) announce() {
	s.mu.Lock()
	s.sequence++
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slot_count": s.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born,
	}
	s.mu.Unlock()
	if s.engine != nil {
		report := s.engine.report()
		entry["models"], entry["phase"], entry["sequence"] = report["models"], "colocated", report["sequence"]
	}
	s.store.put("servers/"+s.id, entry)
}

// crash ends the server at once, with all its connections. The store drops its entry after three
// heartbeat intervals.
func (s *server) crash() {
	s.stop()
	_ = s.http.Close()
	time.AfterFunc(3*heartbeatInterval, func() { s.store.remove("servers/" + s.id) })
}

// ServeHTTP answers as the pages say of servers.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(wire["expectInstance"]); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		reject(w, r, http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("Instance-Id", s.id)
	case s.engine != nil && r.URL.Path == "/report":
		writeJSON(w, s.engine.report())
	case s.engine != nil && r.URL.Path == "/order":
		s.engine.serveOrder(w, r)
	default:
		s.serveRequest(w, r)
	}
}

func (s *server) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	if s.running >= s.slots {
		s.mu.Unlock()
		s.record.line("server %s rejects %s", s.id, id)
		reject(w, r, http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running--
	}()
	if s.engine != nil {
		s.engine.serveStream(w, r)
		return
	}
	s.record.line("server %s runs %s", s.id, id)
	sign(w, r, s.id)
	s.respond(w, r)
	s.record.line("server %s has ended %s, context: %v", s.id, id, r.Context().Err())
}

// sign sets the headers of a server's own answer.
func sign(w http.ResponseWriter, r *http.Request, server string) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set(wire["signature"], server+"."+r.Header.Get("Request-Id"))
}

// reject answers that the request has not run.
func reject(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set(wire["notRun"], "1")
	w.WriteHeader(status)
}

// engine is what a model server holds. Weights and adapters share weightsMB.
type engine struct {
	server               *server
	weightsMB, adapterMB float64
	// places is the number of adapters that fit in, as far as memory allows.
	places   int
	modelsMB map[string]float64
	// eventTime is the time between two events of a stream.
	eventTime time.Duration

	mu       sync.Mutex
	models   []string
	adapters map[string]*adapter
	sequence uint64
	fence    uint64
	// failed is set once an order exceeded the memory or the places, which crashes the server.
	failed   bool
	accepted []acceptedOrder
}

// acceptedOrder is an order that was accepted.
type acceptedOrder struct {
	at     time.Time
	holder string
}

// acceptedOrders returns the orders that were accepted, in order of their arrival.
func (e *engine) acceptedOrders() []acceptedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.accepted)
}

func (e *engine) hasFailed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.failed
}

// adapter is an adapter that is loading, present, or to be dropped when its runs have ended.
type adapter struct {
	readyAt  time.Time
	runs     int
	dropping bool
}

// adapterLoadTime is the time to load an adapter from the weight store.
const adapterLoadTime = 250 * time.Millisecond

func (e *engine) report() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	var pending []string
	present := map[string][]string{}
	for ref, a := range e.adapters {
		model, name, _ := strings.Cut(ref, "/")
		if time.Now().Before(a.readyAt) {
			pending = append(pending, ref+"@1")
			continue
		}
		present[model] = append(present[model], name+"@1")
	}
	var models []map[string]any
	running := 0
	for _, model := range e.models {
		adapters := present[model]
		if adapters == nil {
			adapters = []string{}
		}
		models = append(models, map[string]any{"name": model, "version": 1, "adapters": adapters})
	}
	for _, a := range e.adapters {
		running += a.runs
	}
	return map[string]any{
		"phase": "colocated", "models": models, "busy": false, "sequence": e.sequence, "waiting": 0, "running": running,
		"kv_used": 0, "kv_total": 129799, "handle_count": 0, "pending": pending, "born": e.server.born,
	}
}

// usedMB returns the memory that weights and adapters take. e.mu is held.
func (e *engine) usedMB() float64 {
	used := float64(len(e.adapters)) * e.adapterMB
	for _, model := range e.models {
		used += e.modelsMB[model]
	}
	return used
}

// order is an order to an engine.
type order struct {
	operation, model, adapter, holder string
	token                             uint64
	// expect is the expected number of accepted orders; nil: any.
	expect *uint64
}

func decodeOrder(body io.Reader) (o order, err error) {
	var fields map[string]json.RawMessage
	if err := json.NewDecoder(body).Decode(&fields); err != nil {
		return o, err
	}
	for name, into := range map[string]any{
		"operation": &o.operation, "model": &o.model, "adapter": &o.adapter, "holder": &o.holder, wire["token"]: &o.token, "expect": &o.expect,
	} {
		if value, sent := fields[name]; sent {
			if err := json.Unmarshal(value, into); err != nil {
				return o, err
			}
		}
	}
	return o, nil
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	order, err := decodeOrder(r.Body)
	if err != nil || order.holder == "" || order.token == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	status, changed, text := http.StatusConflict, false, ""
	switch {
	case order.token < e.fence:
		status = http.StatusPreconditionFailed
	case order.expect != nil && *order.expect != e.sequence:
	default:
		e.fence = order.token
		status, changed, text = e.apply(order.operation, order.model, order.adapter)
	}
	if changed {
		e.sequence++
	}
	if status == http.StatusAccepted || status == http.StatusOK {
		e.accepted = append(e.accepted, acceptedOrder{at: time.Now(), holder: order.holder})
	}
	held, used := len(e.adapters), e.usedMB()
	e.mu.Unlock()
	e.server.record.line("server %s: order %s %s/%s by %s under %d: %d; holds %d adapters, %.0f of %.0f MB",
		e.server.id, order.operation, order.model, order.adapter, order.holder, order.token, status, held, used, e.weightsMB)
	if text != "" {
		e.server.record.say("LIMIT: %s; it crashes", text)
		e.server.crash()
		return
	}
	w.WriteHeader(status)
}

// apply carries out an order. changed reports whether it was to do anything, and text tells how it exceeds what the
// server holds. e.mu is held.
func (e *engine) apply(operation, model, name string) (status int, changed bool, text string) {
	ref := model + "/" + name
	a := e.adapters[ref]
	switch {
	case name == "":
		return http.StatusBadRequest, false, "" // all servers hold their base models
	case operation == wire["load"] && a != nil:
		a.dropping = false
		return http.StatusOK, false, ""
	case operation == wire["load"]:
		e.adapters[ref] = &adapter{readyAt: time.Now().Add(adapterLoadTime)}
		if used := e.usedMB(); used > e.weightsMB && !e.failed {
			e.failed = true
			text = fmt.Sprintf("server %s was ordered to hold %.0f MB, %.0f MB are there, with %d adapters in %d places", e.server.id, used, e.weightsMB, len(e.adapters), e.places)
		}
		if len(e.adapters) > e.places && !e.failed {
			e.failed = true
			text = fmt.Sprintf("server %s was ordered to hold %d adapters, %d places are there", e.server.id, len(e.adapters), e.places)
		}
		return http.StatusAccepted, true, text
	case operation == wire["unload"] && a == nil:
		return http.StatusOK, false, ""
	case operation == wire["unload"] && a.runs > 0:
		a.dropping = true
		return http.StatusAccepted, true, ""
	case operation == wire["unload"]:
		delete(e.adapters, ref)
		return http.StatusOK, true, ""
	}
	return http.StatusBadRequest, false, ""
}

// begin begins a run on an adapter; status is 0 if it runs.
func (e *engine) begin(ref string) (status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.adapters[ref]
	switch {
	case a == nil || time.Now().Before(a.readyAt):
		return http.StatusMisdirectedRequest
	case a.dropping:
		return http.StatusServiceUnavailable
	}
	a.runs++
	return 0
}

func (e *engine) end(ref string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.adapters[ref]
	if a == nil {
		return
	}
	if a.runs--; a.runs == 0 && a.dropping {
		delete(e.adapters, ref)
	}
}

// serveStream answers with one event for each two output tokens.
func (e *engine) serveStream(w http.ResponseWriter, r *http.Request) {
	id, ref := r.Header.Get("Request-Id"), r.Header.Get("Model")
	if status := e.begin(ref); status != 0 {
		e.server.record.line("server %s rejects %s for %s: %d", e.server.id, id, ref, status)
		reject(w, r, status)
		return
	}
	defer e.end(ref)
	e.server.record.line("server %s runs %s on %s", e.server.id, id, ref)
	_, output, _ := strings.Cut(r.Header.Get(wire["tokens"]), ",")
	tokens, _ := strconv.Atoi(output)
	sign(w, r, e.server.id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(wire["weights"], "1")
	for event := 1; event <= tokens/2; event++ {
		time.Sleep(e.eventTime)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", event, id, event); err != nil || r.Context().Err() != nil {
			e.server.record.line("server %s: the connection of %s has ended after event %d", e.server.id, id, event)
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
	e.server.record.line("server %s has ended %s", e.server.id, id)
}
