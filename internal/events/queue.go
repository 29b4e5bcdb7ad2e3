package events

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines bounds the lines that are queued while the reader of the log is stalled. A
// line has about 300 bytes.
const maxQueuedLines = 2048

// queue passes lines to a dedicated writer goroutine, so that a stalled reader of the log never
// blocks a request. Lines that exceed its capacity are dropped and counted.
type queue struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	closing sync.Once
}

func newQueue(w io.Writer) *queue {
	q := &queue{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go q.run(w)
	return q
}

// Write queues one line. It never fails and never blocks.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// run writes lines to w until the queue is closed. Write errors are ignored because there is
// no other place to report them.
func (q *queue) run(w io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		_, _ = w.Write(line)
		if n := q.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w, "level=warn message=log_lines_dropped count=%d\n", n)
		}
	}
}

// close writes the queued lines and stops the writer. Write must not be called afterwards.
func (q *queue) close() {
	q.closing.Do(func() { close(q.lines) })
	<-q.done
}
