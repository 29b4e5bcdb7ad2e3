package feed

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// network delivers the messages of a fleet in virtual time. One goroutine delivers all of them: a
// fleet of 66 VMs has up to 2,700 messages in flight in the rows that delay some by 4 s. With one
// goroutine per message, 6 of 53 runs of these tests ended in a failure inside the race detector's
// runtime, by a failed check of its thread slots or by a fault; with one goroutine in all, none of
// 40 did. The number of live goroutines is the likely cause, but this has not been shown.
//
// Lock order: no other lock is acquired while network.mu is held.
type network struct {
	mu      sync.Mutex
	queue   messages
	lastSeq int
	// earlierDue signals that a message was queued that is due before all others.
	earlierDue chan struct{}
}

type message struct {
	due     time.Time
	seq     int // breaks ties: of messages due at the same time, the first sent is delivered first
	deliver func()
}

// messages is a heap ordered by due time.
type messages []message

func (l messages) Len() int { return len(l) }

func (l messages) Less(a, b int) bool {
	if !l[a].due.Equal(l[b].due) {
		return l[a].due.Before(l[b].due)
	}
	return l[a].seq < l[b].seq
}

func (l messages) Swap(a, b int) { l[a], l[b] = l[b], l[a] }

func (l *messages) Push(x any) { *l = append(*l, x.(message)) }

func (l *messages) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

func newNetwork() *network { return &network{earlierDue: make(chan struct{}, 1)} }

// send schedules deliver to run after a delay.
func (n *network) send(delay time.Duration, deliver func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastSeq++
	due := time.Now().Add(delay)
	heap.Push(&n.queue, message{due: due, seq: n.lastSeq, deliver: deliver})
	if n.queue[0].seq == n.lastSeq {
		select {
		case n.earlierDue <- struct{}{}:
		default: // already signaled
		}
	}
}

// run delivers messages until the context ends. Messages in flight at that time are lost.
func (n *network) run(ctx context.Context) {
	for ctx.Err() == nil {
		deliver, wait := n.popDue()
		if deliver != nil {
			deliver()
			continue
		}
		select {
		case <-ctx.Done():
		case <-n.earlierDue:
		case <-time.After(wait):
		}
	}
}

// popDue removes a due message and returns its delivery function. If none is due, it returns nil
// and the time until the next one is.
func (n *network) popDue() (deliver func(), wait time.Duration) {
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
