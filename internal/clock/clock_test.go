package clock

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// machine is a machine whose clocks a test sets.
type machine struct {
	steady time.Time
	boot   time.Duration
	fails  error
	// slow is the time that each reading takes.
	slow time.Duration
}

func (m *machine) run(d time.Duration) { m.steady, m.boot = m.steady.Add(d), m.boot+d }

func (m *machine) source() Source {
	return Source{
		Monotonic: func() time.Time { defer m.run(m.slow); return m.steady },
		BootTime:  func() (time.Duration, error) { defer m.run(m.slow); return m.boot, m.fails },
	}
}

func TestSuspension(t *testing.T) {
	m := &machine{steady: time.Unix(1_000_000, 0), boot: time.Hour}
	c, err := New(m.source())
	assert.NilError(t, err)
	began := c.Now()
	m.run(time.Second)
	assert.Equal(t, c.Refresh(), time.Duration(0))
	assert.Equal(t, c.Now().Sub(began), time.Second)
	for n := range 3 {
		m.boot += 4 * time.Second
		assert.Equal(t, c.Refresh(), 4*time.Second, "suspension %d", n)
		assert.Equal(t, c.Refresh(), time.Duration(0))
	}
	assert.Equal(t, c.Now().Sub(began), 13*time.Second)
}

// TestSlowReadingIsNoSuspension: a busy VM may lose its turn between the two readings.
func TestSlowReadingIsNoSuspension(t *testing.T) {
	m := &machine{steady: time.Unix(1_000_000, 0), slow: 300 * time.Millisecond}
	c, err := New(m.source())
	assert.NilError(t, err)
	for range 20 {
		assert.Equal(t, c.Refresh(), time.Duration(0))
	}
}

func TestWithoutTheTimeSinceTheBoot(t *testing.T) {
	m := &machine{steady: time.Unix(1_000_000, 0), fails: errors.New("not known")}
	c, err := New(m.source())
	assert.ErrorContains(t, err, "not known")
	m.run(time.Second)
	assert.Equal(t, c.Refresh(), time.Duration(0))
	assert.Assert(t, c.Now().Equal(m.steady))
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
