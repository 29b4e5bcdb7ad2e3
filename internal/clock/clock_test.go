package clock

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// fakeMachine is a machine whose clocks a test sets.
type fakeMachine struct {
	monotonic time.Time
	bootTime  time.Duration
	bootErr   error
	// readDuration is the time that passes during each reading.
	readDuration time.Duration
}

func (m *fakeMachine) advance(d time.Duration) {
	m.monotonic, m.bootTime = m.monotonic.Add(d), m.bootTime+d
}

func (m *fakeMachine) source() Source {
	return Source{
		Monotonic: func() time.Time { defer m.advance(m.readDuration); return m.monotonic },
		BootTime:  func() (time.Duration, error) { defer m.advance(m.readDuration); return m.bootTime, m.bootErr },
	}
}

func TestRefreshDetectsSuspensions(t *testing.T) {
	m := &fakeMachine{monotonic: time.Unix(1_000_000, 0), bootTime: time.Hour}
	c, err := New(m.source())
	assert.NilError(t, err)
	start := c.Now()
	m.advance(time.Second)
	assert.Equal(t, c.Refresh(), time.Duration(0))
	assert.Equal(t, c.Now().Sub(start), time.Second)
	for n := range 3 {
		m.bootTime += 4 * time.Second
		assert.Equal(t, c.Refresh(), 4*time.Second, "suspension %d", n)
		assert.Equal(t, c.Refresh(), time.Duration(0))
	}
	assert.Equal(t, c.Now().Sub(start), 13*time.Second)
}

// TestRefreshIgnoresSlowClockReads checks that a VM that is descheduled between the two readings of
// Refresh does not report a suspension.
func TestRefreshIgnoresSlowClockReads(t *testing.T) {
	m := &fakeMachine{monotonic: time.Unix(1_000_000, 0), readDuration: 300 * time.Millisecond}
	c, err := New(m.source())
	assert.NilError(t, err)
	for range 20 {
		assert.Equal(t, c.Refresh(), time.Duration(0))
	}
}

func TestClockWithoutBootTimeIgnoresSuspensions(t *testing.T) {
	m := &fakeMachine{monotonic: time.Unix(1_000_000, 0), bootErr: errors.New("not known")}
	c, err := New(m.source())
	assert.ErrorContains(t, err, "not known")
	m.advance(time.Second)
	assert.Equal(t, c.Refresh(), time.Duration(0))
	assert.Assert(t, c.Now().Equal(m.monotonic))
}

func TestSystemClocks(t *testing.T) {
	c, err := New(System())
	assert.NilError(t, err)
	assert.Equal(t, c.Refresh(), time.Duration(0))
}

func BenchmarkRefresh(b *testing.B) {
	c, _ := New(System())
	for b.Loop() {
		c.Refresh()
	}
}
