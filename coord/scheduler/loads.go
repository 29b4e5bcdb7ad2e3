package scheduler

import (
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/loadlimit"
)

const (
	// lateLoadRetryDelay is the delay before a request is granted on an adapter whose load turned
	// out to be unfinished.
	lateLoadRetryDelay = 60 * time.Millisecond
	// lateLoadWindow is how long after its expected end a load may turn out to be unfinished, which
	// allows for a load that takes four times as long as expected.
	lateLoadWindow = time.Second
)

// reopenLoad handles a target's rejection of a request for an adapter that was assumed to be
// loaded. It reports whether the load, which this VM ordered, may still be in progress. Such a load
// counts as in progress again, which keeps the store and the target from getting more loads than
// they can handle.
func (s *Scheduler) reopenLoad(now time.Time, t *target, ref coord.AdapterRef) bool {
	sl := t.slots[ref]
	if sl == nil || !sl.acknowledged || now.Sub(sl.initialReadyAt) >= lateLoadWindow {
		return false
	}
	if sl.state != resident {
		return sl.rejected // the request was sent before another one was rejected
	}
	sl.state = loading
	sl.confirmed = false
	sl.readyAt = now.Add(lateLoadRetryDelay)
	switch {
	case !sl.fromStore && !sl.rejected: // it may be slightly slower than earlier ones
		sl.readyAt = now.Add(warmLoadRetryDelay)
	case !sl.fromStore: // the engine had not cached the adapter
		delete(t.cachedAdapters, ref)
		sl.fromStore, sl.cacheMissed = true, true
		sl.readyAt = coord.Later(sl.readyAt, sl.startedAt.Add(s.coldLoadTime.Value()))
	}
	sl.rejected = true
	s.countLoad(sl, true)
	return true
}

// observeLateLoad records that a load was unfinished when a request was granted, and reports
// whether it took longer than the current estimate. A load that started beside many others is no
// measure of the load time at full speed, and a warm load may turn out to be a cold one. The time
// of such a load counts only once a request has run on it.
func (s *Scheduler) observeLateLoad(g *grant) bool {
	sl := g.slot
	if !s.measuresLoad(g) {
		return false // the load may have begun long after its order
	}
	elapsed := g.grantedAt.Sub(sl.startedAt)
	sl.rejectedAfter = max(sl.rejectedAfter, elapsed)
	if !sl.fromStore {
		return elapsed >= s.warmLoadTime.Value()
	}
	late := elapsed >= s.coldLoadTime.Value()
	if (!sl.contended || !late) && !sl.cacheMissed {
		s.coldLoadTime.ObserveRejection(sl.loadNumber, elapsed)
	}
	return late
}

// observeLoadOnTime records that a load was finished when a request was granted.
func (s *Scheduler) observeLoadOnTime(g *grant) {
	sl := g.slot
	if !s.measuresLoad(g) || sl.confirmed || sl.cacheMissed {
		return
	}
	elapsed := g.grantedAt.Sub(sl.startedAt) + sl.answerLatency
	s.loadLimit.ObserveDuration(sl.lateLoad, (sl.rejectedAfter+elapsed)/2)
	sl.lateLoad = loadlimit.StartedLoad{}
	switch {
	case !sl.fromStore:
		s.warmLoadTime.ObserveRun(sl.loadNumber, sl.rejectedAfter, elapsed)
	case sl.rejectedAfter == 0 || !sl.contended:
		s.coldLoadTime.ObserveRun(sl.loadNumber, sl.rejectedAfter, elapsed)
	}
}

// observeStoreFull records that a load has to wait for the load limit. While the estimate of the
// load time may be far too long, loads that finish in time do not show that the store serves more.
func (s *Scheduler) observeStoreFull() {
	if s.coldLoadTime.IsTight() {
		s.loadLimit.ObserveFull()
	}
}

// countLoadTiming counts a load as late or on time for the load limit, which may show that loads
// take longer than estimated whatever their number is.
func (s *Scheduler) countLoadTiming(now time.Time, g *grant, late bool) {
	if !s.measuresLoad(g) {
		return
	}
	if late {
		g.slot.lateLoad = g.startedLoad
	}
	s.loadLimit.End(now, g.startedLoad, late)
	if d, overdue := s.loadLimit.Overdue(); overdue {
		s.coldLoadTime.RaiseTo(d)
	}
}

// nextColdLoadTime returns the time after which to send the first request for a load from the
// store, without loadMargin. A trial leaves out that margin: it would otherwise take as long as the
// estimate, which is then never lowered.
func (s *Scheduler) nextColdLoadTime() time.Duration {
	next := s.coldLoadTime.Next()
	if next < s.coldLoadTime.Value() {
		return max(next-loadMargin, 0)
	}
	return next
}

// isMeasurable reports whether the answer to a load order came soon enough to show when the load
// began. A VM short of CPU time handles answers late, which makes loads appear shorter than they
// are.
func (s *Scheduler) isMeasurable(latency time.Duration) bool {
	if latency < s.orderLatency {
		s.orderLatency = latency
	}
	s.orderLatency += (latency - s.orderLatency) / orderLatencyDecay
	return latency <= s.orderLatency+loadMargin
}

// orderLatencyDecay is the number of answers over which the lowest latency of orders is forgotten.
const orderLatencyDecay = 64

// measuresLoad reports whether a request was granted after a load that this VM ordered, and whether
// its slot still holds the result of that load.
func (s *Scheduler) measuresLoad(g *grant) bool {
	sl := g.slot
	return sl != nil && sl == g.target.slots[g.ref] && sl.version == g.version && !sl.startedAt.IsZero()
}

// hasLateLoad reports whether t rejected requests for an adapter because its load was unfinished.
// These requests return to t: a load elsewhere would take up load capacity and finish later. In a
// simulated burst of requests for new adapters (TestBurstOfNewAdapters, over 12 s) 0.859 of the
// requests were in time without this rule and 0.917 with it.
func (t *target) hasLateLoad(now time.Time, ref coord.AdapterRef) bool {
	sl := t.slots[ref]
	return sl != nil && sl.rejected && now.Sub(sl.initialReadyAt) < lateLoadWindow
}

// Initial estimates of the time to load an adapter (coord/loadtime): from the store without
// concurrent loads, and of an adapter that the engine has cached. With a constant of 250 ms where
// loads take 288 ms, 1,537 of 7,722 arrivals at engines were rejected under light traffic.
const (
	initialColdLoadTime = 250 * time.Millisecond
	initialWarmLoadTime = 25 * time.Millisecond
	// loadMargin covers the network delay of the order and one step of the engine.
	loadMargin = 15 * time.Millisecond
	// warmLoadRetryDelay is the delay before a request is granted on an adapter whose warm load
	// turned out to be unfinished. If it is still unfinished then, it counts as a load from the
	// store.
	warmLoadRetryDelay = 20 * time.Millisecond
)

// maxCachedAdapters is how many unloaded adapters an engine is expected to keep cached. Engines
// cache about 126; a lower number is the safe assumption.
const maxCachedAdapters = 100

// expectedLoadTime returns the expected time to load an adapter at t.
func (s *Scheduler) expectedLoadTime(t *target, ref coord.AdapterRef) time.Duration {
	if t.isCached(ref) {
		return s.warmLoadTime.Value() + loadMargin
	}
	return s.coldLoadTime.Value() + loadMargin
}

// isCached reports whether the engine is expected to have an adapter cached.
func (t *target) isCached(ref coord.AdapterRef) bool {
	_, cached := t.cachedAdapters[ref]
	return cached
}

// addCached records that the target held an adapter.
func (t *target) addCached(now time.Time, ref coord.AdapterRef) {
	t.cachedAdapters[ref] = now
	if len(t.cachedAdapters) <= maxCachedAdapters {
		return
	}
	var oldest coord.AdapterRef
	var oldestAt time.Time
	for r, used := range t.cachedAdapters {
		if oldestAt.IsZero() || used.Before(oldestAt) {
			oldest, oldestAt = r, used
		}
	}
	delete(t.cachedAdapters, oldest)
}
