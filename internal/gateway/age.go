package gateway

import (
	"sync"
	"time"
)

// ages tells how long ago callers first asked. A caller that comes back after a refusal asks
// anew, on another VM as a rule, and says how long it will still wait. Where callers of a
// route begin with one and the same time, what one lacks of it has passed since it first
// asked: it is late by that, and what it waits for is in time only if counted from then. On a
// heavy day two of five calls that plain targets served were such, served before others that
// could still be in time.
//
// Lock order: ages.mu is taken alone.
type ages struct {
	mu     sync.Mutex
	routes map[string]*firstWait
}

// firstWait is what the callers of a route begin with.
type firstWait struct {
	// most is the longest time that one said of late, and share how many of the last ones said
	// just that.
	most  time.Duration
	share float64
	seen  int
}

// Figures of what callers begin with.
const (
	// sameWithin is how much less a first wait may be: callers count from when they dialled.
	sameWithin = 0.03
	// shareWeight is the weight of one request in the share, and leastShare what the share must
	// be: where callers begin with times of their own, nothing is known of their age. In an
	// overload half of the requests have come back.
	shareWeight     = 0.05
	leastShare      = 0.3
	leastSeen       = 10
	forgetFirstWait = 0.999
	// maxRoutes bounds the routes that are remembered.
	maxRoutes = 4096
)

func newAges() *ages { return &ages{routes: map[string]*firstWait{}} }

// of returns how long ago a caller first asked who will still wait for left; 0 where that is
// not known.
func (a *ages) of(route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.routes[route]
	if w == nil {
		if len(a.routes) >= maxRoutes {
			clear(a.routes) // routes come and go; what is known of them is learnt anew
		}
		w = &firstWait{}
		a.routes[route] = w
	}
	return w.age(left)
}

func (w *firstWait) age(left time.Duration) time.Duration {
	w.seen++
	if left > w.most { // callers wait for longer than those before
		if float64(w.most) < (1-sameWithin)*float64(left) {
			w.share, w.seen = 0, 1
		}
		w.most = left
	}
	same := float64(left) >= (1-sameWithin)*float64(w.most)
	hit := 0.0
	if same {
		hit = 1
	}
	w.share += max(shareWeight, 1/float64(w.seen)) * (hit - w.share)
	if !same {
		w.most = time.Duration(forgetFirstWait * float64(w.most))
	}
	if same || w.seen < leastSeen || w.share < leastShare {
		return 0
	}
	return w.most - left
}
