package feed

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// network carries the messages of a fleet in virtual time. One goroutine delivers them all: a
// fleet of 66 VMs has up to 2,700 under way where some are held for 4 s. While each had a
// goroutine of its own, the race detector's runtime ended 6 of 53 runs of these tests by a
// failed check of its own slots for threads or by a fault inside itself, in none of 40 since;
// that it is the number of live goroutines is likely, not shown.
// Lock order: network.mu is taken alone.
type network struct {
	mu    sync.Mutex
	queue messages
	sent  int
	// earlier says that a message came that is due before all others.
	earlier chan struct{}
}

type message struct {
	due     time.Time
	n       int // of those due at one moment the first sent is the first to come
	deliver func()
}

// messages is a heap by when they are due.
type messages []message

func (l messages) Len() int { return len(l) }

func (l messages) Less(a, b int) bool {
	if !l[a].due.Equal(l[b].due) {
		return l[a].due.Before(l[b].due)
	}
	return l[a].n < l[b].n
}

func (l messages) Swap(a, b int) { l[a], l[b] = l[b], l[a] }

func (l *messages) Push(x any) { *l = append(*l, x.(message)) }

func (l *messages) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

func newNetwork() *network { return &network{earlier: make(chan struct{}, 1)} }

// send lets deliver run after a while.
func (n *network) send(after time.Duration, deliver func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
	due := time.Now().Add(after)
	heap.Push(&n.queue, message{due: due, n: n.sent, deliver: deliver})
	if n.queue[0].n == n.sent {
		select {
		case n.earlier <- struct{}{}:
		default: // it is told already
		}
	}
}

// run delivers until the context ends; what is under way then is lost.
func (n *network) run(ctx context.Context) {
	for ctx.Err() == nil {
		deliver, wait := n.next()
		if deliver != nil {
			deliver()
			continue
		}
		select {
		case <-ctx.Done():
		case <-n.earlier:
		case <-time.After(wait):
		}
	}
}

// next takes a message that is due, or says how long none is.
func (n *network) next() (deliver func(), wait time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.queue) == 0 {
		return nil, time.Hour
	}
	if wait = time.Until(n.queue[0].due); wait > 0 {
		return nil, wait
	}
	return heap.Pop(&n.queue).(message).deliver, 0
}
