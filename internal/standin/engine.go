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

// EngineFaults configures the faults that an engine injects.
type EngineFaults struct {
	// FailLoads is the number of next loads that fail.
	FailLoads int
	// TruncateStreams is the number of next streams that are aborted without an end marker
	// after TruncateAfterEvents events.
	TruncateStreams     int
	TruncateAfterEvents int
	// WrongAdapter makes completions name another adapter than the requested one.
	WrongAdapter bool
	// NoResume makes requests to resume a stream fail.
	NoResume bool
	// Leaving is reported as the engine's leaving state.
	Leaving bool
}

// EngineConfig configures an Engine.
type EngineConfig struct {
	Base  string
	Slots int
	// RejectsStaleTokens makes the engine reject orders whose fencing token is lower than the
	// highest one it has received.
	RejectsStaleTokens bool
	// TokenTime is the time to generate one token.
	TokenTime time.Duration
	Weights   *WeightStore
	// OrderToken is the bearer token that orders must have. If it is empty, orders are not
	// authenticated.
	OrderToken string
}

// Engine is a fake model engine with LoRA adapters.
type Engine struct {
	cfg EngineConfig
	mux *http.ServeMux

	mu           sync.Mutex
	bootID       string
	fencingToken uint64
	resident     map[string]string
	loading      int
	running      map[string]int
	streams      map[string]*stream
	faults       EngineFaults
	runs         map[string]int
	evictedInUse []string
	totalRuns    int
}

// stream holds the events of a streamed completion, so that a client can resume it.
type stream struct {
	events [][]byte
}

// NewEngine returns an engine without resident adapters.
func NewEngine(cfg EngineConfig) *Engine {
	e := &Engine{cfg: cfg, mux: http.NewServeMux()}
	e.reset()
	e.runs = map[string]int{}
	e.mux.HandleFunc("GET "+target.StatePath, e.state)
	e.mux.HandleFunc("POST "+target.RolePath, e.authorizeOrder(e.role))
	e.mux.HandleFunc("POST "+target.LoadPath, e.authorizeOrder(e.load))
	e.mux.HandleFunc("POST "+target.UnloadPath, e.authorizeOrder(e.unload))
	e.mux.HandleFunc("GET "+target.StreamPath+"{id}", e.resume)
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	return e
}

func (e *Engine) reset() {
	e.bootID = uuid.NewString()
	e.fencingToken = 0
	e.resident = map[string]string{}
	e.running = map[string]int{}
	e.streams = map[string]*stream{}
}

// Restart simulates a cold start: the engine gets a new boot id and loses its adapters, streams
// and fencing token.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset()
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Runs returns the number of runs of each request id.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.runs))
	for k, v := range e.runs {
		out[k] = v
	}
	return out
}

// EvictedInUse returns the adapters that were unloaded while a request used them.
func (e *Engine) EvictedInUse() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.evictedInUse...)
}

// Resident returns the names of the resident adapters.
func (e *Engine) Resident() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for n := range e.resident {
		out = append(out, n)
	}
	return out
}

// ServeHTTP serves the HTTP interface of the engine.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

func writeError(w http.ResponseWriter, status int, code string, token uint64) {
	var body target.ErrorBody
	body.Error.Code, body.Error.Message, body.Error.Fence = code, code, token
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	s := target.State{BootID: e.bootID, FencingToken: e.fencingToken, Leaving: e.faults.Leaving, Slots: e.cfg.Slots}
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

// authorizeOrder wraps the handler of an order. It rejects orders without a valid order token
// or with a stale fencing token.
func (e *Engine) authorizeOrder(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.cfg.OrderToken != "" && r.Header.Get("Authorization") != "Bearer "+e.cfg.OrderToken {
			writeError(w, http.StatusUnauthorized, "unauthorized", 0)
			return
		}
		token, _ := strconv.ParseUint(r.Header.Get(target.FencingTokenHeader), 10, 64)
		if highest, ok := e.checkFencingToken(token); !ok {
			writeError(w, http.StatusConflict, target.EngineStaleToken, highest)
			return
		}
		next(w, r)
	}
}

// checkFencingToken reports whether an order with this fencing token is accepted, and records the
// token. If the token is stale, it returns the highest token received. An engine that does not
// reject stale tokens accepts every token and records none.
func (e *Engine) checkFencingToken(token uint64) (highest uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.cfg.RejectsStaleTokens {
		return 0, true
	}
	if token < e.fencingToken {
		return e.fencingToken, false
	}
	e.fencingToken = token
	return token, true
}

func (e *Engine) role(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	var o target.LoadOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		writeError(w, http.StatusBadRequest, "bad_order", 0)
		return
	}
	e.mu.Lock()
	_, isResident := e.resident[o.Name]
	full := len(e.resident)+e.loading >= e.cfg.Slots
	fail := e.faults.FailLoads > 0
	bootID := e.bootID
	switch {
	case isResident || full:
		e.mu.Unlock()
		if isResident {
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
	ok := !fail && e.bootID == bootID
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
		e.evictedInUse = append(e.evictedInUse, o.Name)
	}
	delete(e.resident, o.Name)
}

// completionBody holds the fields of a completion request that the engine uses.
type completionBody struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Prompt   string `json:"prompt"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// text returns the last chat message, or the prompt if there are no messages.
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
	a, ok := e.beginRun(&b, r)
	if !ok {
		writeError(w, http.StatusNotFound, target.EngineNotLoaded, 0)
		return
	}
	defer e.endRun(b.Model)
	if b.Stream {
		e.serveStream(w, r, a)
		return
	}
	for range a.words {
		time.Sleep(e.cfg.TokenTime)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(a.fullBody())
}

// beginRun records the start of a run and returns its answer. It returns false if the requested
// adapter is not resident.
func (e *Engine) beginRun(b *completionBody, r *http.Request) (*answer, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	path, ok := e.resident[b.Model]
	if !ok && b.Model != e.cfg.Base {
		return nil, false
	}
	if !ok {
		path = b.Model
	}
	id := r.Header.Get(target.RequestIDHeader)
	e.runs[id]++
	e.totalRuns++
	e.running[b.Model]++
	a := &answer{id: id, model: b.Model, chat: strings.Contains(r.URL.Path, "chat")}
	if e.faults.WrongAdapter {
		a.model = "another@v0"
	}
	a.words = strings.Fields(fmt.Sprintf("%s says %s", path, b.text()))
	return a, true
}

func (e *Engine) endRun(model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[model]--
}

func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, a *answer) {
	s := &stream{}
	e.mu.Lock()
	e.streams[a.id] = s
	truncateAt := -1
	if e.faults.TruncateStreams > 0 {
		e.faults.TruncateStreams--
		truncateAt = e.faults.TruncateAfterEvents
	}
	e.mu.Unlock()
	s.events = a.events()
	e.sendEvents(w, r, s, 0, truncateAt)
}

// sendEvents writes the events of a stream from index after on. It aborts the connection before
// the event with index truncateAt; a negative index disables that.
func (e *Engine) sendEvents(w http.ResponseWriter, r *http.Request, s *stream, after, truncateAt int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for i := after; i < len(s.events); i++ {
		if i == truncateAt {
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
	after, _ := strconv.Atoi(r.Header.Get(target.LastEventIDHeader))
	e.sendEvents(w, r, s, after, -1)
}
