package dispatch

import "time"

// queue holds the waiting requests of one adapter, by rank and then by age.
type queue struct {
	items []Request
}

func (q *queue) len() int { return len(q.items) }

// push inserts a request: higher rank first, older first within a rank.
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

func (q *queue) removeExpired(now time.Time) []Request {
	var expired []Request
	kept := q.items[:0]
	for _, r := range q.items {
		if now.Before(r.Deadline) {
			kept = append(kept, r)
		} else {
			expired = append(expired, r)
		}
	}
	q.items = kept
	return expired
}

// moreUrgent compares the heads of two queues by aged rank, then age, then handle, so that the
// order does not depend on map iteration.
func (q *queue) moreUrgent(other *queue, now time.Time, agingInterval time.Duration) bool {
	a, b := q.items[0], other.items[0]
	ra, rb := agedRank(a, now, agingInterval), agedRank(b, now, agingInterval)
	if ra != rb {
		return ra > rb
	}
	if !a.arrived.Equal(b.arrived) {
		return a.arrived.Before(b.arrived)
	}
	return a.Handle < b.Handle
}

// agedRank raises a rank by one for each full agingInterval waited, so that newer requests of a
// higher rank do not starve old ones.
func agedRank(r Request, now time.Time, agingInterval time.Duration) int {
	return r.Rank + int(now.Sub(r.arrived)/agingInterval)
}

// loadPriority returns the priority of a load for this queue: the sum over its requests of rank plus
// one, plus the wait in units of agingInterval.
func (q *queue) loadPriority(now time.Time, agingInterval time.Duration) float64 {
	sum := 0.0
	for _, r := range q.items {
		sum += initialPriority(r.Rank) + float64(now.Sub(r.arrived))/float64(agingInterval)
	}
	return sum
}

// initialPriority returns the load priority of a request on arrival.
func initialPriority(rank int) float64 { return float64(rank + 1) }
