package servicequeue

import (
	"math"
	"time"
)

// serviceTimes estimates how long calls take, for the service and for each of its targets. A target's
// own calls count with a weight that decays, beside the mean of the service as the prior: a phase in
// which a target is slow shows within some responses and is forgotten some hundred milliseconds after
// its end.
type serviceTimes struct {
	// mean is the moving average of the durations of all calls, and deviation that of their distance
	// from it.
	mean, deviation time.Duration
	targets         map[string]*targetTime
}

// targetTime holds the durations of the calls of one target.
type targetTime struct {
	// sum is the weighted sum of durations, and weight that of their weights, both as of lastCall.
	sum      time.Duration
	weight   float64
	lastCall time.Time
}

const (
	// ewmaWeight is the weight of one observation in the moving averages of the service.
	ewmaWeight = 0.03
	// initialMean and initialDeviation are the estimates before the first response.
	initialMean      = 50 * time.Millisecond
	initialDeviation = 25 * time.Millisecond
	// p90Deviations is the number of deviations above the mean that 9 of 10 calls stay within.
	p90Deviations = 1.6
	// targetHalfLife is the time in which a target's calls lose half of their weight. Slow phases last
	// about 600 ms; a target of six slots serves 25 to 60 calls in that time.
	targetHalfLife = 150 * time.Millisecond
	// priorWeight is the weight of the mean of the service, in calls. The durations of single calls vary
	// by half of their mean.
	priorWeight = 4.0
	// forgottenWeight is the weight below which a target's calls are removed.
	forgottenWeight = 0.01
)

func newServiceTimes() serviceTimes {
	return serviceTimes{mean: initialMean, deviation: initialDeviation, targets: map[string]*targetTime{}}
}

// observe records the duration of a call at a target.
func (s *serviceTimes) observe(now time.Time, target string, duration time.Duration) {
	delta := duration - s.mean
	s.mean += time.Duration(ewmaWeight * float64(delta))
	s.deviation += time.Duration(ewmaWeight * float64(delta.Abs()-s.deviation))
	t := s.targets[target]
	if t == nil {
		t = &targetTime{lastCall: now}
		s.targets[target] = t
	}
	remaining := t.remaining(now)
	t.sum = time.Duration(remaining*float64(t.sum)) + duration
	t.weight = remaining*t.weight + 1
	t.lastCall = now
}

// remaining returns the part of the weight that the calls have kept since the last one.
func (t *targetTime) remaining(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(t.lastCall)) / float64(targetHalfLife))
}

// pace returns the expected duration of a target's calls as a multiple of the service's.
func (s *serviceTimes) pace(now time.Time, target string) float64 {
	t := s.targets[target]
	if t == nil {
		return 1
	}
	remaining := t.remaining(now)
	prior := priorWeight * float64(s.mean)
	return (prior + remaining*float64(t.sum)) / (prior + remaining*t.weight*float64(s.mean))
}

// at returns the expected mean duration of a target's calls.
func (s *serviceTimes) at(now time.Time, target string) time.Duration {
	return time.Duration(s.pace(now, target) * float64(s.mean))
}

// p90 returns the duration that 9 of 10 calls of the service stay within.
func (s *serviceTimes) p90() time.Duration {
	return s.mean + time.Duration(p90Deviations*float64(s.deviation))
}

// expire removes the calls of targets whose weight has decayed.
func (s *serviceTimes) expire(now time.Time) {
	for id, t := range s.targets {
		if t.remaining(now)*t.weight < forgottenWeight {
			delete(s.targets, id)
		}
	}
}
