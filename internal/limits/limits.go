// Package limits bounds the rate of requests per caller, adapter and service, and
// the rate of retries.
//
// VMs share no state: each VM allows the limit divided by the number of live VMs
// that it sees. If the load balancer distributes requests evenly, the fleet allows
// the limit. During a network partition into k parts, each part sees fewer VMs and
// the fleet allows up to k times the limit, but never more.
package limits

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"
)

// maxBuckets bounds the number of token buckets. The least recently used one is
// evicted first.
const maxBuckets = 16384

// burstSeconds is the size of a token bucket in seconds of its rate.
const burstSeconds = 1.0

// Limiter holds one token bucket per key. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	vms     int
	buckets *lru.Cache[string, *rate.Limiter]
}

// New returns a Limiter for a fleet of one VM.
func New() *Limiter {
	buckets, err := lru.New[string, *rate.Limiter](maxBuckets)
	if err != nil {
		panic(err) // unreachable: lru.New fails only if maxBuckets is not positive
	}
	return &Limiter{vms: 1, buckets: buckets}
}

// SetVMs sets the number of live VMs that share each limit. Values below one count
// as one.
func (l *Limiter) SetVMs(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = max(n, 1)
}

// Allow reports whether a request of a key is within the fleet-wide limit of
// perSecond requests per second. Zero means no limit. If the request is rejected,
// retry is the delay after which a request can be allowed.
func (l *Limiter) Allow(now time.Time, key string, perSecond float64) (ok bool, retry time.Duration) {
	if perSecond <= 0 {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	share := perSecond / float64(l.vms)
	bucket, found := l.buckets.Get(key)
	if !found {
		bucket = rate.NewLimiter(rate.Limit(share), burstSize(share))
		l.buckets.Add(key, bucket)
	}
	if bucket.Limit() != rate.Limit(share) {
		bucket.SetLimitAt(now, rate.Limit(share))
		bucket.SetBurstAt(now, burstSize(share))
	}
	if bucket.AllowN(now, 1) {
		return true, 0
	}
	return false, time.Duration(float64(time.Second) / share)
}

func burstSize(share float64) int { return max(1, int(share*burstSeconds)) }

// RetryBudget limits retries to a share of first attempts, so that a fault does not
// cause a retry storm. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	share  float64
	credit float64
}

// maxRetryCredit is the initial and the maximum credit in retries. It allows a
// burst of retries after a period with few retries.
const maxRetryCredit = 10

// NewRetryBudget returns a RetryBudget with full credit that allows share retries
// per first attempt.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{share: share, credit: maxRetryCredit}
}

// SetShare sets the number of retries allowed per first attempt.
func (b *RetryBudget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// Deposit records a first attempt, which adds share to the credit.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+b.share, maxRetryCredit)
}

// TryWithdraw reports whether a retry is allowed, and deducts it from the credit if
// so.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
