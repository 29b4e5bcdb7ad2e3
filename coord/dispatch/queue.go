package dispatch

import "time"

// queue is the waiting requests of one adapter, by rank and then by age.
type queue struct {
	items []Request
}

func (q *queue) len() int { return len(q.items) }

// push keeps the items sorted: higher rank first, older first in a rank.
func (q *queue) push(r Request) {
	at := len(q.items)
	for at > 0 && q.items[at-1].Rank < r.Rank {
		at--
	}
	q.items = append(q.items, Request{})
	copy(q.items[at+1:], q.items[at:])
	q.items[at] = r
}

func (q *queue) pop() Request {
	r := q.items[0]
	q.items = q.items[1:]
	return r
}

func (q *queue) remove(handle uint64) bool {
	for i, r := range q.items {
		if r.Handle == handle {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return true
		}
	}
	return false
}

func (q *queue) takeExpired(now time.Time) []Request {
	var late []Request
	kept := q.items[:0]
	for _, r := range q.items {
		if now.Before(r.Deadline) {
			kept = append(kept, r)
		} else {
			late = append(late, r)
		}
	}
	q.items = kept
	return late
}

// moreUrgent compares the heads of two queues: aged rank first, then age, then
// handle, so that the order never depends on map iteration.
func (q *queue) moreUrgent(other *queue, now time.Time, ageStep time.Duration) bool {
	a, b := q.items[0], other.items[0]
	ra, rb := agedRank(a, now, ageStep), agedRank(b, now, ageStep)
	if ra != rb {
		return ra > rb
	}
	if !a.arrived.Equal(b.arrived) {
		return a.arrived.Before(b.arrived)
	}
	return a.Handle < b.Handle
}

// agedRank raises a rank by one for each full ageStep waited, so that no
// request starves behind newer ones of a higher rank.
func agedRank(r Request, now time.Time, ageStep time.Duration) int {
	return r.Rank + int(now.Sub(r.arrived)/ageStep)
}

// worth is what one load for this queue is worth: each waiter counts its rank
// plus one, and more the longer it has waited.
func (q *queue) worth(now time.Time, ageStep time.Duration) float64 {
	sum := 0.0
	for _, r := range q.items {
		sum += firstWorth(r.Rank) + float64(now.Sub(r.arrived))/float64(ageStep)
	}
	return sum
}

// firstWorth is what a request is worth on arrival.
func firstWorth(rank int) float64 { return float64(rank + 1) }
