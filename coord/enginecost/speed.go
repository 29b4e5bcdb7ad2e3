package enginecost

import "time"

// Priors of a service of which nothing was seen yet; learning makes up for a factor of
// ten either way within some tens of requests.
const (
	// priorPerToken is that of a model of 70 billion parameters on one accelerator.
	priorPerToken = 40 * time.Microsecond
	priorOverhead = 25 * time.Millisecond
	// priorRun is a stream of some hundred tokens.
	priorRun = 2 * time.Second
)

// runWeight is the weight of one stream in the mean time that streams run.
const runWeight = 0.02

// Speed is what is believed of all engines of a service. Times are in ms.
type Speed struct {
	perToken quantity
	overhead quantity
	run      float64
}

// NewSpeed returns the priors.
func NewSpeed() *Speed {
	return &Speed{
		perToken: newQuantity(ms(priorPerToken)),
		overhead: newQuantity(ms(priorOverhead)),
		run:      ms(priorRun),
	}
}

// PrefillTime returns the time to read tokens at an ordinary engine.
func (s *Speed) PrefillTime(tokens int) time.Duration {
	return duration(float64(tokens) * s.perToken.value())
}

// Overhead returns the time to the first event besides waiting and reading.
func (s *Speed) Overhead() time.Duration { return duration(s.overhead.value()) }

// MeanStreamTime returns the mean time that a stream runs after its first event.
func (s *Speed) MeanStreamTime() time.Duration { return duration(s.run) }

// ObserveStream takes the time from the first event of a stream to its end.
func (s *Speed) ObserveStream(took time.Duration) { s.run += runWeight * (ms(took) - s.run) }

// learn takes a first event that came took ms after the engine began to read so many
// tokens. The larger part of the expected time is the one that is learnt; the overhead
// only where the engine began at once, since it is needed to tell when one that was busy
// began.
func (s *Speed) learn(tokens, took float64, atOnce bool) {
	reading := tokens * s.perToken.value()
	overhead := s.overhead.value()
	if reading > overhead {
		s.perToken.observe(max(took-overhead, leastShare*reading) / reading)
		return
	}
	if !atOnce {
		return
	}
	s.overhead.observe(max(took-reading, leastShare*overhead) / overhead)
}

// leastShare bounds from below what one observation can say of a part, in parts of what
// was believed of it.
const leastShare = 0.1

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
