package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxItemsPerPage is the number of items in one page of a range, as the platform's page says.
const maxItemsPerPage = 500

// storeItem is an item of the store as it is sent.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made,omitempty"`
	LeaseID  uint64 `json:"lease_id"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store, which loses nothing and is never down.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	events   []storeItem
	changed  chan struct{}
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), items: map[string]storeItem{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	return s, nil
}

// put writes a value as JSON.
func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := storeItem{Key: key, Value: encoded, Revision: s.revision, Made: s.revision}
	if old, exists := s.items[key]; exists {
		item.Made = old.Made
	}
	s.items[key] = item
	s.notify(item)
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.items[key]; !exists {
		return
	}
	s.revision++
	delete(s.items, key)
	s.notify(storeItem{Key: key, Revision: s.revision, Deleted: true})
}

// notify records an event and wakes the watches. s.mu is held.
func (s *store) notify(event storeItem) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, exists := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, map[string]any{
		"key": item.Key, "value": item.Value, "revision": item.Revision, "made": item.Made, "lease_id": item.LeaseID, wire["storeRevision"]: revision,
	})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var items []storeItem
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > maxItemsPerPage
	if more {
		items = items[:maxItemsPerPage]
	}
	writeJSON(w, map[string]any{"items": items, "has_more": more, wire["storeRevision"]: revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		var events []storeItem
		for _, event := range s.events {
			if event.Revision > after && strings.HasPrefix(event.Key, query.Get("prefix")) {
				events = append(events, event)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, wire["storeRevision"]: revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, map[string]any{"events": []storeItem{}, wire["storeRevision"]: revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
