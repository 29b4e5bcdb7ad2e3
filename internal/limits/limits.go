// Package limits bounds the rate of requests per caller, adapter and service.
//
// VMs share nothing: each allows its part, the limit divided by the live VMs it
// sees. With an even balancer the fleet allows the limit. In a partition into k
// parts each part sees fewer VMs and the fleet allows up to k times the limit; it
// never allows more than the limit times the number of parts.
package limits

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"
)

// maxKeys bounds the limiters that are kept; the least used is forgotten first.
const maxKeys = 16384

// burstTime is how much of the rate may come at once.
const burstTime = 1.0

// Limiter holds one bucket per key.
type Limiter struct {
	mu   sync.Mutex
	vms  int
	keys *lru.Cache[string, *rate.Limiter]
}

// New returns a Limiter that divides by one VM.
func New() *Limiter {
	keys, err := lru.New[string, *rate.Limiter](maxKeys)
	if err != nil {
		panic(err) // maxKeys is above zero
	}
	return &Limiter{vms: 1, keys: keys}
}

// SetVMs sets how many live VMs share each limit.
func (l *Limiter) SetVMs(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = max(n, 1)
}

// Allow takes one request of a key whose limit is perSecond over the fleet. Zero
// means no limit. When it refuses, retry is when a request may pass.
func (l *Limiter) Allow(now time.Time, key string, perSecond float64) (ok bool, retry time.Duration) {
	if perSecond <= 0 {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	share := perSecond / float64(l.vms)
	bucket, found := l.keys.Get(key)
	if !found {
		bucket = rate.NewLimiter(rate.Limit(share), burst(share))
		l.keys.Add(key, bucket)
	}
	if bucket.Limit() != rate.Limit(share) {
		bucket.SetLimitAt(now, rate.Limit(share))
		bucket.SetBurstAt(now, burst(share))
	}
	if bucket.AllowN(now, 1) {
		return true, 0
	}
	return false, time.Duration(float64(time.Second) / share)
}

func burst(share float64) int { return max(1, int(share*burstTime)) }

// RetryBudget allows retries as a share of first attempts, so that a fault does
// not turn into a storm of them.
type RetryBudget struct {
	mu     sync.Mutex
	share  float64
	credit float64
}

// reserve is how many retries may be made on credit, after quiet times.
const reserve = 10

// NewRetryBudget returns a full budget.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{share: share, credit: reserve}
}

// SetShare sets the retries allowed for each first attempt.
func (b *RetryBudget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// Deposit counts a first attempt.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+b.share, reserve)
}

// TryWithdraw takes one retry from the budget; false means that there is none.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
