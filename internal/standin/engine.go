package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/junctionfold/junctionfold/internal/target"
)

// EngineFaults are the switches of an engine.
type EngineFaults struct {
	// FailLoads makes that many loads fail.
	FailLoads int
	// TruncateStreams ends that many streams without an end mark after CutEvents.
	TruncateStreams     int
	TruncateAfterEvents int
	// WrongAdapter makes answers name another adapter.
	WrongAdapter bool
	// NoResume forgets streams.
	NoResume bool
	// Leaving is what the report says.
	Leaving bool
}

// EngineConfig describes an engine.
type EngineConfig struct {
	Base  string
	Slots int
	// RejectsStaleTokens says whether orders with old numbers are refused.
	RejectsStaleTokens bool
	// TokenTime is the time of one token.
	TokenTime time.Duration
	Weights   *WeightStore
	// OrderToken is needed for orders; empty for an engine that does not
	// check who gives them.
	OrderToken string
}

// Engine is a model engine.
type Engine struct {
	cfg EngineConfig
	mux *http.ServeMux

	mu       sync.Mutex
	boot     string
	fence    uint64
	resident map[string]string
	loading  int
	running  map[string]int
	streams  map[string]*stream
	faults   EngineFaults
	ran      map[string]int
	evicted  []string
	total    int
}

// stream is an answer being generated; it can be taken up again.
type stream struct {
	events [][]byte
}

// NewEngine returns an engine that holds no adapter.
func NewEngine(cfg EngineConfig) *Engine {
	e := &Engine{cfg: cfg, mux: http.NewServeMux()}
	e.reset()
	e.ran = map[string]int{}
	e.mux.HandleFunc("GET "+target.StatePath, e.state)
	e.mux.HandleFunc("POST "+target.RolePath, e.order(e.role))
	e.mux.HandleFunc("POST "+target.LoadPath, e.order(e.load))
	e.mux.HandleFunc("POST "+target.UnloadPath, e.order(e.unload))
	e.mux.HandleFunc("GET "+target.StreamPath+"{id}", e.resume)
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	return e
}

func (e *Engine) reset() {
	e.boot = uuid.NewString()
	e.fence = 0
	e.resident = map[string]string{}
	e.running = map[string]int{}
	e.streams = map[string]*stream{}
}

// Restart empties the engine, as a cold start does.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset()
}

// SetFaults sets the switches.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Runs returns how often each request id was run.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.ran))
	for k, v := range e.ran {
		out[k] = v
	}
	return out
}

// EvictedInUse returns the adapters that were unloaded while a request used
// them.
func (e *Engine) EvictedInUse() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.evicted...)
}

// Resident returns the names held.
func (e *Engine) Resident() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for n := range e.resident {
		out = append(out, n)
	}
	return out
}

// ServeHTTP serves the engine's interface.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

func writeError(w http.ResponseWriter, status int, code string, fence uint64) {
	var body target.ErrorBody
	body.Error.Code, body.Error.Message, body.Error.Fence = code, code, fence
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	s := target.State{BootID: e.boot, FencingToken: e.fence, Leaving: e.faults.Leaving, Slots: e.cfg.Slots}
	for n := range e.resident {
		s.Resident = append(s.Resident, n)
	}
	for _, n := range e.running {
		s.Running += n
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s)
}

// order checks who gives an order and under which number.
func (e *Engine) order(do http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.cfg.OrderToken != "" && r.Header.Get("Authorization") != "Bearer "+e.cfg.OrderToken {
			writeError(w, http.StatusUnauthorized, "unauthorized", 0)
			return
		}
		fence, _ := strconv.ParseUint(r.Header.Get(target.FencingTokenHeader), 10, 64)
		if seen, ok := e.passFence(fence); !ok {
			writeError(w, http.StatusConflict, target.EngineStaleToken, seen)
			return
		}
		do(w, r)
	}
}

func (e *Engine) passFence(fence uint64) (seen uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.cfg.RejectsStaleTokens {
		return 0, true
	}
	if fence < e.fence {
		return e.fence, false
	}
	e.fence = fence
	return fence, true
}

func (e *Engine) role(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	var o target.LoadOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		writeError(w, http.StatusBadRequest, "bad_order", 0)
		return
	}
	e.mu.Lock()
	_, there := e.resident[o.Name]
	full := len(e.resident)+e.loading >= e.cfg.Slots
	fail := e.faults.FailLoads > 0
	boot := e.boot
	switch {
	case there || full:
		e.mu.Unlock()
		if there {
			w.WriteHeader(http.StatusOK)
		} else {
			writeError(w, http.StatusConflict, "no_free_slot", 0)
		}
		return
	case fail:
		e.faults.FailLoads--
	}
	e.loading++
	e.mu.Unlock()
	e.cfg.Weights.Fetch(o.Path)
	e.mu.Lock()
	e.loading--
	ok := !fail && e.boot == boot
	if ok {
		e.resident[o.Name] = o.Path
	}
	e.mu.Unlock()
	if !ok {
		writeError(w, http.StatusInternalServerError, "load_failed", 0)
	}
}

func (e *Engine) unload(w http.ResponseWriter, r *http.Request) {
	var o target.UnloadOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		writeError(w, http.StatusBadRequest, "bad_order", 0)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[o.Name] > 0 {
		e.evicted = append(e.evicted, o.Name)
	}
	delete(e.resident, o.Name)
}

// completionBody is what the engine reads of a request.
type completionBody struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Prompt   string `json:"prompt"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func (b *completionBody) text() string {
	if n := len(b.Messages); n > 0 {
		return b.Messages[n-1].Content
	}
	return b.Prompt
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var b completionBody
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		writeError(w, http.StatusBadRequest, "bad_request", 0)
		return
	}
	a, ok := e.begin(&b, r)
	if !ok {
		writeError(w, http.StatusNotFound, target.EngineNotLoaded, 0)
		return
	}
	defer e.end(b.Model)
	if b.Stream {
		e.serveStream(w, r, a)
		return
	}
	for range a.words {
		time.Sleep(e.cfg.TokenTime)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(a.whole())
}

// begin starts a run if its adapter is resident.
func (e *Engine) begin(b *completionBody, r *http.Request) (*answer, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	path, ok := e.resident[b.Model]
	if !ok && b.Model != e.cfg.Base {
		return nil, false
	}
	if !ok {
		path = b.Model
	}
	id := r.Header.Get(target.RequestIDKey)
	e.ran[id]++
	e.total++
	e.running[b.Model]++
	a := &answer{id: id, model: b.Model, chat: strings.Contains(r.URL.Path, "chat")}
	if e.faults.WrongAdapter {
		a.model = "another@v0"
	}
	a.words = strings.Fields(fmt.Sprintf("%s says %s", path, b.text()))
	return a, true
}

func (e *Engine) end(model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[model]--
}

func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, a *answer) {
	s := &stream{}
	e.mu.Lock()
	e.streams[a.id] = s
	cut := -1
	if e.faults.TruncateStreams > 0 {
		e.faults.TruncateStreams--
		cut = e.faults.TruncateAfterEvents
	}
	e.mu.Unlock()
	s.events = a.events()
	e.send(w, r, s, 0, cut)
}

// send writes the events after the given one. It cuts the connection before
// event number cut.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, s *stream, after, cut int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for i := after; i < len(s.events); i++ {
		if i == cut {
			panic(http.ErrAbortHandler)
		}
		if e.cfg.TokenTime > 0 {
			time.Sleep(e.cfg.TokenTime)
		}
		if r.Context().Err() != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\n%s", i+1, s.events[i]); err != nil {
			return
		}
		_ = flush.Flush()
	}
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	if e.faults.NoResume {
		s = nil
	}
	e.mu.Unlock()
	if s == nil {
		writeError(w, http.StatusNotFound, "no_such_stream", 0)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get(target.LastEventID))
	e.send(w, r, s, after, -1)
}
