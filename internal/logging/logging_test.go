package logging

import (
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// recordingWriter records the data of each Write separately.
type recordingWriter struct {
	mu     sync.Mutex
	writes []string
}

func (l *recordingWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writes = append(l.writes, string(p))
	return len(p), nil
}

// TestConcurrentLinesAreNotInterleaved logs concurrently from two VMs that share a
// writer and expects each event to be one complete line.
func TestConcurrentLinesAreNotInterleaved(t *testing.T) {
	out := &recordingWriter{}
	var wg sync.WaitGroup
	for _, vm := range []string{"a", "b"} {
		l := New(out, "info", vm)
		for range 50 {
			wg.Go(func() { l.WithField("detail", "two words").Info("event") })
		}
	}
	wg.Wait()
	assert.Equal(t, len(out.writes), 100)
	for _, line := range out.writes {
		assert.Assert(t, strings.HasSuffix(line, "\n") && strings.Count(line, "\n") == 1, "%q", line)
		assert.Assert(t, strings.Contains(line, `message=event detail="two words" vm=`), "%q", line)
	}
}
