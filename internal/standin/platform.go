// Package standin holds small fakes of what junctionfold meets: the
// configuration service, the VM list, the weight store, model engines and plain
// services. Each speaks the real one's protocol on a socket and has switches for
// the faults that tests cause.
package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/junctionfold/junctionfold/internal/platform"
)

// VM is one line of the published list.
type VM struct {
	ID      string `json:"id"`
	Zone    string `json:"hall"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// Platform is the configuration service and the VM list.
type Platform struct {
	mu       sync.Mutex
	values   map[string]platform.Value
	revision uint64
	changed  chan struct{}
	vms      []VM
	listVer  uint64
	down     bool
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{values: map[string]platform.Value{}, changed: make(chan struct{})}
}

// Publish sets values, as the operators' own means would.
func (p *Platform) Publish(values map[string][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	for k, v := range values {
		p.values[k] = platform.Value{Data: v, Revision: p.revision}
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetVMs publishes a new VM list.
func (p *Platform) SetVMs(vms []VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = append([]VM(nil), vms...)
	p.listVer++
}

// SetDown makes every call fail, or ends that.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// ServeHTTP serves both services.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	down := p.down
	p.mu.Unlock()
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == platform.VMsPath:
		p.serveList(w)
	case strings.HasPrefix(r.URL.Path, platform.ValuePath):
		p.serveValue(w, r, strings.TrimPrefix(r.URL.Path, platform.ValuePath))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (p *Platform) serveList(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"version": p.listVer, "vms": p.vms})
}

func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request, key string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get(platform.AfterParam), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get(platform.WaitParam), 10, 64)
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		p.mu.Lock()
		value, ok := p.values[key]
		changed := p.changed
		p.mu.Unlock()
		if wait == 0 || value.Revision != after {
			writeValue(w, value, ok)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeValue(w, value, ok)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeValue(w http.ResponseWriter, v platform.Value, ok bool) {
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(platform.RevisionHeader, strconv.FormatUint(v.Revision, 10))
	_, _ = w.Write(v.Data)
}

// WeightStore gives adapters' weights, one at a time at full speed; loads that
// run at once share the speed.
type WeightStore struct {
	// LoadTime of one load alone.
	LoadTime time.Duration

	mu      sync.Mutex
	current int
	loads   map[string]int
}

// NewWeightStore returns a store with the given time for one load.
func NewWeightStore(loadTime time.Duration) *WeightStore {
	return &WeightStore{LoadTime: loadTime, loads: map[string]int{}}
}

// Fetch blocks for the time of one load.
func (s *WeightStore) Fetch(path string) {
	s.mu.Lock()
	s.current++
	s.loads[path]++
	share := s.current
	s.mu.Unlock()
	time.Sleep(time.Duration(share) * s.LoadTime)
	s.mu.Lock()
	s.current--
	s.mu.Unlock()
}

// Loads returns how often each path was fetched.
func (s *WeightStore) Loads() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.loads))
	for k, v := range s.loads {
		out[k] = v
	}
	return out
}
