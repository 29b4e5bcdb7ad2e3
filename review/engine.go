package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	model = "m0"
	// adapterLoadTime and adapterSlots are those of a small deployment.
	adapterLoadTime = 250 * time.Millisecond
	adapterSlots    = 21
)

// run is one run of a request at a server, from the moment at which it begins.
type run struct {
	At      time.Time
	ID      string
	Server  string
	Adapter string
	Version int64
	Spoilt  bool
}

// runLog records the runs at all servers and the orders.
type runLog struct {
	weights weightStore

	mu     sync.Mutex
	runs   []run
	holder string // of the last order that was accepted
	notes  []string
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *runLog) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notes = append(l.notes, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (l *runLog) lastHolder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder
}

func (l *runLog) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// weightStore is what all model servers load adapters from: a load takes adapterLoadTime while no more than
// loadsAtFullSpeed are on their way, and longer in proportion beyond.
type weightStore struct{ loads atomic.Int64 }

const loadsAtFullSpeed = 8

// load returns when an adapter has been loaded.
func (s *weightStore) load() {
	const step = 5 * time.Millisecond
	n := s.loads.Add(1)
	defer s.loads.Add(-1)
	last := time.Now()
	for progress := time.Duration(0); progress < adapterLoadTime; n = s.loads.Load() {
		time.Sleep(step)
		now := time.Now()
		progress += time.Duration(float64(now.Sub(last)) * min(1, loadsAtFullSpeed/float64(n)))
		last = now
	}
}

// slot holds one adapter at an engine.
type slot struct {
	version int64 // what requests run on; 0: nothing yet
	next    int64 // version of the load in progress; 0: none
	runs    int
}

// engine is a stand-in of a model server, or of a plain one if it is without a model.
type engine struct {
	id, addr, zone, service string
	// born is when the server started, in Unix milliseconds.
	born  int64
	store *store
	log   *runLog
	plain bool
	// events and interval shape a stream.
	events   int
	interval time.Duration
	// software is the version of the server's software.
	software string
	server   *http.Server
	// spoil, if set, may answer a request that has begun to run in another way; true: it did.
	spoil func(w http.ResponseWriter, r *http.Request) bool

	mu       sync.Mutex
	slots    map[string]*slot
	sequence int
	fence    uint64
	running  int
	down     bool
}

func newEngine(st *store, log *runLog, service, id, zone string, plain bool) *engine {
	return &engine{
		id: id, addr: freeAddress(), born: time.Now().UnixMilli(), zone: zone, service: service, store: st, log: log, plain: plain,
		software: "v1", events: 5, interval: 20 * time.Millisecond, slots: map[string]*slot{},
	}
}

func (e *engine) start() error {
	if err := e.listen(); err != nil {
		return err
	}
	e.register("ready")
	return nil
}

// listen starts the server without an entry in the store.
func (e *engine) listen() error {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	return nil
}

// crash ends the server and all its connections.
func (e *engine) crash() {
	_ = e.server.Close()
	e.log.note("%s crashes", e.id)
}

// restart starts the server again under its id and address, with the given software. It holds and knows
// nothing of before. Its entry in the store is written later, with its next heartbeat.
func (e *engine) restart(software string) (*engine, error) {
	next := newEngine(e.store, e.log, e.service, e.id, e.zone, e.plain)
	next.addr, next.software, next.events, next.interval = e.addr, software, e.events, e.interval
	next.born = max(next.born, e.born+1)
	e.log.note("%s starts again with software %s", e.id, software)
	return next, next.listen()
}

func (e *engine) register(state string) {
	e.mu.Lock()
	entry := map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": e.software, "slot_count": 64, "state": state,
		"cold_remaining_ms": 0, "sequence": e.sequence, "born": e.born,
	}
	if !e.plain {
		entry["phase"], entry["models"] = "colocated", e.models()
	}
	e.mu.Unlock()
	e.store.put("servers/"+e.id, entry)
}

// models lists the model and its adapters. e.mu is held.
func (e *engine) models() []map[string]any {
	adapters := []string{}
	for name, s := range e.slots {
		if s.version > 0 {
			adapters = append(adapters, fmt.Sprintf("%s@%d", name, s.version))
		}
	}
	sort.Strings(adapters)
	return []map[string]any{{"name": model, "version": 1, "adapters": adapters}}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get(wire("instance")); want != "" && want != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		e.serveReport(w)
	case "/order":
		e.serveOrder(w, r)
	default:
		e.serveRequest(w, r)
	}
}

func (e *engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	pending := []string{}
	for name, s := range e.slots {
		if s.next > 0 {
			pending = append(pending, fmt.Sprintf("%s/%s@%d", model, name, s.next))
		}
	}
	sort.Strings(pending)
	writeJSON(w, map[string]any{
		"phase": "colocated", "models": e.models(), "pending": pending, "busy": false, "sequence": e.sequence, "waiting": 0,
		"running": e.running, "kv_used": 0, "kv_total": 131025, "handle_count": 0, "born": e.born,
	})
}

type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Version   int64  `json:"version"`
	Holder    string `json:"holder"`
	// Token is the fencing token. It is read apart from the other fields.
	Token  *uint64 `json:"-"`
	Expect *int    `json:"expect"`
}

// newestVersion returns the newest version of an adapter that the store has acknowledged.
func newestVersion(st *store, adapter string) int64 {
	value, found := st.get(wire("version") + model + "." + adapter)
	if !found {
		return 1
	}
	var v struct {
		Version int64 `json:"version"`
	}
	_ = json.Unmarshal(value, &v)
	return v.Version
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	o, err := readOrder(r.Body)
	if err != nil || o.Holder == "" || o.Token == nil || o.Model != model {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := e.order(o)
	e.log.note("order at %s by %s under %d: %s %s@%d: %d", e.id, o.Holder, *o.Token, o.Operation, o.Adapter, o.Version, status)
	w.WriteHeader(status)
}

// readOrder decodes an order.
func readOrder(body io.Reader) (o order, err error) {
	text, err := io.ReadAll(body)
	if err != nil {
		return o, err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &o); err != nil {
		return o, err
	}
	if err := json.Unmarshal(text, &fields); err != nil {
		return o, err
	}
	if token, found := fields[wire("fencingToken")]; found {
		err = json.Unmarshal(token, &o.Token)
	}
	return o, err
}

func (e *engine) order(o order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case *o.Token < e.fence:
		return http.StatusPreconditionFailed
	case o.Expect != nil && *o.Expect != e.sequence:
		return http.StatusConflict
	}
	e.fence = *o.Token
	s := e.slots[o.Adapter]
	if o.Operation == wire("modelUnload") {
		if s == nil {
			return http.StatusOK
		}
		if s.runs > 0 || s.next > 0 {
			return http.StatusConflict
		}
		delete(e.slots, o.Adapter)
		e.accepted(o)
		return http.StatusOK
	}
	version := o.Version
	if version == 0 {
		version = newestVersion(e.store, o.Adapter)
	}
	switch {
	case o.Adapter == "", s != nil && s.version == version:
		return http.StatusOK
	case s != nil && s.next > 0:
		return http.StatusConflict
	case s == nil && len(e.slots) >= adapterSlots:
		e.log.note("%s was ordered to load more adapters than it has places for", e.id)
		return http.StatusConflict
	case s == nil:
		s = &slot{}
		e.slots[o.Adapter] = s
	}
	s.next = version
	e.accepted(o)
	go func() {
		e.log.weights.load()
		e.finishLoad(o.Adapter)
	}()
	return http.StatusAccepted
}

func (e *engine) accepted(o order) {
	e.sequence++
	e.log.mu.Lock()
	e.log.holder = o.Holder
	e.log.mu.Unlock()
}

// finishLoad puts the loaded version in place once the runs on the earlier one have ended.
func (e *engine) finishLoad(adapter string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.slots[adapter]
	if s == nil || s.next == 0 {
		return
	}
	if s.runs > 0 {
		time.AfterFunc(5*time.Millisecond, func() { e.finishLoad(adapter) })
		return
	}
	s.version, s.next = s.next, 0
}

// begin registers a run. It returns the version that it runs on, or the status of a rejection.
func (e *engine) begin(adapter, expected string) (version int64, rejection int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.slots[adapter]
	switch {
	case s == nil:
		return 0, http.StatusMisdirectedRequest
	case s.next > 0:
		return 0, http.StatusServiceUnavailable
	case expected != "" && expected != strconv.FormatInt(s.version, 10):
		return 0, http.StatusMisdirectedRequest
	}
	s.runs++
	e.running++
	return s.version, 0
}

func (e *engine) end(adapter string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.slots[adapter]; s != nil {
		s.runs--
	}
	e.running--
}

func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Request-Id", id)
	if e.plain {
		e.log.add(run{At: time.Now(), ID: id, Server: e.id})
		if e.spoil != nil && e.spoil(w, r) {
			return
		}
		time.Sleep(e.interval)
		w.Header().Set(wire("seal"), seal(e.id, id))
		_, _ = fmt.Fprintf(w, "%s ran %s with %d bytes", e.id, id, len(body))
		return
	}
	_, adapter, _ := strings.Cut(r.Header.Get("Model"), "/")
	version, rejection := e.begin(adapter, r.Header.Get(wire("expectVersion")))
	if rejection != 0 {
		w.Header().Set(wire("notRun"), "1")
		w.WriteHeader(rejection)
		return
	}
	defer e.end(adapter)
	at := time.Now()
	e.log.add(run{At: at, ID: id, Server: e.id, Adapter: adapter, Version: version})
	w.Header().Set(wire("seal"), seal(e.id, id))
	w.Header().Set(wire("weights"), strconv.FormatInt(version, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	if e.spoil != nil && e.spoil(w, r) {
		return
	}
	from := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		from = last
	}
	for i := from + 1; i <= e.events; i++ {
		if _, err := io.WriteString(w, eventText(i, adapter, version, e.software)); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-time.After(e.interval):
		case <-r.Context().Done():
			return
		}
	}
}

// eventText returns one event of a stream.
func eventText(i int, adapter string, version int64, software string) string {
	return fmt.Sprintf("id: %d\ndata: %s@%d by %s part %d\n\n", i, adapter, version, software, i)
}

// seal returns the signature of a server's answer.
func seal(server, id string) string { return server + "." + id }
