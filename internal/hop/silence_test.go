package hop

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSilenceIsThatOfAllTargets guards against a slow target that is taken for a silence of all, and
// against a silence that is ended by connections that are made and not answered.
func TestSilenceIsThatOfAllTargets(t *testing.T) {
	requested := make(chan struct{}, 1)
	silent := newFakeTarget(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
		requested <- struct{}{}
		_, _ = r.ReadByte() // until the request ends
	})
	sound := newFakeTarget(t, echo)
	now := time.Now()
	p := New(nil)
	p.Now = func() time.Time { return now }
	p.RecordHeard()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r := newRequest(silent, "1", "a")
		r.Key = "silent"
		_, _ = p.Do(ctx, r)
	}()
	<-requested
	assert.Equal(t, len(p.Silent(now, time.Second)), 0)
	later := now.Add(time.Second)
	assert.DeepEqual(t, p.Silent(later, time.Second), []string{"silent"})
	assert.NilError(t, p.Probe(t.Context(), "sound", sound.listener.Addr().String()))
	assert.DeepEqual(t, p.Silent(later, time.Second), []string{"silent"})
	now = later
	_, err := do(t, p, newRequest(sound, "2", "b"))
	assert.NilError(t, err)
	assert.Equal(t, p.HeardAt().Sub(later), time.Duration(0))
	assert.Equal(t, len(p.Silent(later, time.Second)), 0)
	cancel()
	<-ended
	assert.Equal(t, len(p.Silent(later.Add(time.Hour), time.Second)), 0, "no request waits")
}

// TestHeardAtDoesNotGoBack guards against a silence that is found because a goroutine that was held up
// records what it read long before.
func TestHeardAtDoesNotGoBack(t *testing.T) {
	p := New(nil)
	now := time.Now()
	for _, at := range []time.Time{now.Add(2 * time.Second), now.Add(time.Second)} {
		p.Now = func() time.Time { return at }
		p.RecordHeard()
	}
	assert.Equal(t, p.HeardAt().Sub(now), 2*time.Second)
}
