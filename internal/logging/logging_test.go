package logging

import (
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// lines is a writer that keeps what each Write gave.
type lines struct {
	mu  sync.Mutex
	all []string
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, string(p))
	return len(p), nil
}

// TestLinesStayWhole logs from two VMs that share a writer.
func TestLinesStayWhole(t *testing.T) {
	out := &lines{}
	var wg sync.WaitGroup
	for _, vm := range []string{"a", "b"} {
		l := New(out, "info", vm)
		for range 50 {
			wg.Go(func() { l.WithField("detail", "two words").Info("event") })
		}
	}
	wg.Wait()
	assert.Equal(t, len(out.all), 100)
	for _, line := range out.all {
		assert.Assert(t, strings.HasSuffix(line, "\n") && strings.Count(line, "\n") == 1, "%q", line)
		assert.Assert(t, strings.Contains(line, `message=event detail="two words" vm=`), "%q", line)
	}
}
