package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// freeAddress returns a loopback address that only this process uses, with a port below the ports that
// the kernel gives to outgoing connections.
func freeAddress() string {
	n := int(addressCount.Add(1))
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 64|pid>>16&0x3f, pid>>8&0xff, pid&0xff, 10_000+n)
}

var addressCount atomic.Int64

// storeItem is an item of the platform's store.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made"`
	LeaseID  uint64 `json:"lease_id"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store.
type store struct {
	addr string

	mu       sync.Mutex
	items    map[string]storeItem
	history  []storeItem
	revision uint64
	changed  chan struct{}
	down     bool
}

// setDown makes the store refuse all calls, or serve again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed) // ends the watches that wait
	s.changed = make(chan struct{})
}

// refuseWhileDown answers all calls with 503 while the store is down.
func (s *store) refuseWhileDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func newStore() (*store, error) {
	s := &store{addr: freeAddress(), items: map[string]storeItem{}, changed: make(chan struct{}), revision: 100}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire("keyPath"), s.serveKey)
	mux.HandleFunc("GET "+wire("rangePath"), s.serveRange)
	mux.HandleFunc("GET "+wire("watchPath"), s.serveWatch)
	return s, serve(s.addr, s.refuseWhileDown(mux))
}

func serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return nil
}

// put writes an item as JSON and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := storeItem{Key: key, Value: data, Revision: s.revision, Made: s.revision}
	if old, exists := s.items[key]; exists {
		item.Made = old.Made
	}
	s.items[key] = item
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

// get returns the value of a key.
func (s *store) get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, found := s.items[key]
	return item.Value, found
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, found := s.items[r.URL.Query().Get("key")]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, map[string]any{
		"key": item.Key, "value": item.Value, "revision": item.Revision, "made": item.Made, "lease_id": 0, wire("storeRevision"): s.revision,
	})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	writeJSON(w, map[string]any{"items": items, "has_more": false, wire("storeRevision"): s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, r.URL.Query().Get("prefix")) {
				events = append(events, item)
			}
		}
		revision, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, wire("storeRevision"): revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, map[string]any{"events": events, wire("storeRevision"): revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
