// Package standin provides fakes of the external systems that junctionfold depends on: the
// configuration service, the VM list, the weight store, model engines and plain services. The
// network services implement the protocol of the real system, and the fakes have switches for
// the faults that tests inject.
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

// VM is one entry of the published VM list.
type VM struct {
	ID      string `json:"id"`
	Zone    string `json:"hall"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// Platform is a fake of the configuration service and the VM list.
type Platform struct {
	mu            sync.Mutex
	values        map[string]platform.Value
	revision      uint64
	changed       chan struct{}
	vms           []VM
	vmListVersion uint64
	down          bool
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{values: map[string]platform.Value{}, changed: make(chan struct{})}
}

// Publish sets values under a new revision, as the tools of the operators do, and wakes up the
// requests that wait for a change.
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
	p.vmListVersion++
}

// SetDown sets whether every request fails with status 503.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// ServeHTTP serves the configuration service and the VM list.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	down := p.down
	p.mu.Unlock()
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == platform.VMsPath:
		p.serveVMList(w)
	case strings.HasPrefix(r.URL.Path, platform.ValuePath):
		p.serveValue(w, r, strings.TrimPrefix(r.URL.Path, platform.ValuePath))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (p *Platform) serveVMList(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"version": p.vmListVersion, "vms": p.vms})
}

// serveValue returns the value of a key. If the request sets a wait time, it responds when the
// revision of the value differs from the given one or the wait time is over.
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

// WeightStore simulates the store of adapter weights. A single load runs at full speed;
// concurrent loads share the bandwidth.
type WeightStore struct {
	// LoadTime is the duration of a load without concurrent loads.
	LoadTime time.Duration

	mu     sync.Mutex
	active int
	loads  map[string]int
}

// NewWeightStore returns a store with the given duration of a single load.
func NewWeightStore(loadTime time.Duration) *WeightStore {
	return &WeightStore{LoadTime: loadTime, loads: map[string]int{}}
}

// Fetch blocks for the duration of one load: LoadTime times the number of loads, including this
// one, that are active when it starts.
func (s *WeightStore) Fetch(path string) {
	s.mu.Lock()
	s.active++
	s.loads[path]++
	concurrent := s.active
	s.mu.Unlock()
	time.Sleep(time.Duration(concurrent) * s.LoadTime)
	s.mu.Lock()
	s.active--
	s.mu.Unlock()
}

// Loads returns the number of fetches of each path.
func (s *WeightStore) Loads() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.loads))
	for k, v := range s.loads {
		out[k] = v
	}
	return out
}
