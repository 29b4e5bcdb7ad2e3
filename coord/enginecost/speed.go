package enginecost

import "time"

// Priors for a service without observations. The estimates correct a factor of ten in
// either direction within some tens of requests.
const (
	// priorTimePerToken is the time per token of a model with 70 billion parameters on one
	// accelerator.
	priorTimePerToken = 40 * time.Microsecond
	priorOverhead     = 25 * time.Millisecond
	// priorStreamTime is the time of a stream of some hundred tokens.
	priorStreamTime = 2 * time.Second
)

// streamTimeWeight is the weight of one stream in the exponentially weighted moving average
// of stream times.
const streamTimeWeight = 0.02

// Speed holds the estimates that apply to all engines of a service. Times are in ms.
type Speed struct {
	timePerToken medianEstimate
	overhead     medianEstimate
	meanStreamMs float64
	// meanOutput is the mean announced output of streams, in tokens, and meanLogTimePerToken the mean
	// natural logarithm of their times in ms over announced tokens; 0 before the first stream. streams
	// counts the streams with a known output.
	meanOutput, meanLogTimePerToken float64
	streams                         int
}

// NewSpeed returns a Speed with the priors.
func NewSpeed() *Speed {
	return &Speed{
		timePerToken: newMedianEstimate(ms(priorTimePerToken)),
		overhead:     newMedianEstimate(ms(priorOverhead)),
		meanStreamMs: ms(priorStreamTime),
	}
}

// PrefillTime returns the expected time to prefill tokens at an engine of usual speed.
func (s *Speed) PrefillTime(tokens int) time.Duration {
	return duration(float64(tokens) * s.timePerToken.value())
}

// Overhead returns the expected time to the first event beyond the wait and the prefill.
func (s *Speed) Overhead() time.Duration { return duration(s.overhead.value()) }

// MeanStreamTime returns the mean time from the first event of a stream to its end.
func (s *Speed) MeanStreamTime() time.Duration { return duration(s.meanStreamMs) }

// observePrefill updates the estimates with a first event that came tookMs after the engine
// began to prefill the given tokens. It updates the estimate of the larger part of the expected
// time. It updates the overhead only if the prefill began as soon as the request was sent,
// because the begin of a later prefill is itself derived from the overhead.
func (s *Speed) observePrefill(tokens, tookMs float64, startedAtOnce bool) {
	prefill := tokens * s.timePerToken.value()
	overhead := s.overhead.value()
	if prefill > overhead {
		s.timePerToken.observe(max(tookMs-overhead, minObservedFraction*prefill) / prefill)
		return
	}
	if !startedAtOnce {
		return
	}
	s.overhead.observe(max(tookMs-prefill, minObservedFraction*overhead) / overhead)
}

// minObservedFraction bounds one observation of a time from below, as a fraction of its
// estimate.
const minObservedFraction = 0.1

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
