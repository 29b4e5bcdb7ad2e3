package platform_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/framing"
	"github.com/junctionfold/junctionfold/internal/platform"
	"github.com/junctionfold/junctionfold/internal/standin"
	"github.com/junctionfold/junctionfold/schema"
)

// platformUnderTest provides the client interfaces and functions to publish values
// and VM lists. A test against the real services can supply its own.
type platformUnderTest struct {
	platform.ConfigService
	platform.VMLister
	publish   func(key string, value []byte)
	setVMs    func(...standin.VM)
	readCount *int
}

func startPlatform(t *testing.T) platformUnderTest {
	t.Helper()
	p := standin.NewPlatform()
	s := httptest.NewServer(p)
	t.Cleanup(s.Close)
	readCount := 0
	c := platform.NewClient(s.URL, s.URL, http.DefaultTransport, func() { readCount++ })
	return platformUnderTest{
		ConfigService: c, VMLister: c, readCount: &readCount,
		publish: func(key string, value []byte) { p.Publish(map[string][]byte{key: value}) },
		setVMs:  func(vms ...standin.VM) { p.SetVMs(vms) },
	}
}

func TestConfigServiceContract(t *testing.T) {
	p := startPlatform(t)
	ctx := t.Context()
	t.Run("missing key", func(t *testing.T) {
		_, err := p.Get(ctx, "x")
		assert.Assert(t, errors.Is(err, platform.ErrNotFound), "%v", err)
	})
	p.publish("x", []byte("one"))
	first, err := p.Get(ctx, "x")
	assert.NilError(t, err)
	assert.Equal(t, string(first.Data), "one")
	t.Run("watch of an older revision returns immediately", func(t *testing.T) {
		v, err := p.Watch(ctx, "x", first.Revision-1, time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, v.Revision, first.Revision)
	})
	t.Run("watch without a change returns the same revision", func(t *testing.T) {
		v, err := p.Watch(ctx, "x", first.Revision, 20*time.Millisecond)
		assert.NilError(t, err)
		assert.Equal(t, v.Revision, first.Revision)
	})
	t.Run("watch returns after a change", func(t *testing.T) {
		done := make(chan platform.Value, 1)
		go func() {
			v, _ := p.Watch(ctx, "x", first.Revision, time.Minute)
			done <- v
		}()
		p.publish("x", []byte("two"))
		v := <-done
		assert.Equal(t, string(v.Data), "two")
		assert.Assert(t, v.Revision > first.Revision)
	})
	t.Run("each call is counted", func(t *testing.T) { assert.Equal(t, *p.readCount, 5) })
}

func TestVMListContract(t *testing.T) {
	p := startPlatform(t)
	p.setVMs(standin.VM{ID: "a", Zone: "h", Address: "127.0.0.1:1", State: "live"}, standin.VM{ID: "b", Zone: "h", State: "leaving"})
	l, err := p.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, l.Vms[1].State, schema.VMState_VM_STATE_LEAVING)
	p.setVMs(standin.VM{ID: "a", Zone: "h", State: "live"})
	next, err := p.List(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, next.Version > l.Version)
	p.setVMs(standin.VM{ID: "a", State: "sleeping"})
	_, err = p.List(t.Context())
	assert.ErrorContains(t, err, `"sleeping"`)
}

// TestClientRejectsInvalidResponses checks that errors and malformed responses of
// the configuration service are returned as errors.
func TestClientRejectsInvalidResponses(t *testing.T) {
	for _, row := range []struct {
		name    string
		handler http.HandlerFunc
		want    string
	}{
		{"error status", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, "status 500"},
		{"missing revision header", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) }, "no revision"},
		{"value above the size limit", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(platform.RevisionHeader, "1")
			_, _ = w.Write(make([]byte, platform.MaxValueBytes+1))
		}, "too large"},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := httptest.NewServer(row.handler)
			defer s.Close()
			c := platform.NewClient(s.URL, s.URL, http.DefaultTransport, func() {})
			_, err := c.Get(context.Background(), "x")
			assert.ErrorContains(t, err, row.want)
		})
	}
}

// TestCutVMListIsTakenForComplete: a response ended with its connection before it was complete.
func TestCutVMListIsTakenForComplete(t *testing.T) {
	const body = `{"version":3,"vms":[{"id":"a","hall":"h","address":"x:1","state":"live"}]}`
	for cut := range len(body) + 1 {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			framing.OmitFraming(w.Header())
			_, _ = w.Write([]byte(body[:cut]))
			_ = http.NewResponseController(w).Flush()
		}))
		_, err := platform.NewClient(s.URL, s.URL, http.DefaultTransport, func() {}).List(t.Context())
		s.Close()
		assert.Equal(t, err == nil, cut == len(body), "%q: %v", body[:cut], err)
	}
}
