package enginecost

import (
	"math"
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// Parameters of the estimate of one engine.
const (
	// minObservationWeight is the smallest weight of a new observation in the engine's own
	// time per token, before it is multiplied by the gain of the observation. With it, about
	// four observations show that an engine has become slow.
	minObservationWeight = 0.3
	// evidenceHalfLife is the time in which the observations of an engine lose half of
	// their weight. A slow period lasts some seconds; a slower accelerator is permanent.
	evidenceHalfLife = 20 * time.Second
	// minGain is the weight of an observation that consists of overhead alone. The jitter
	// of the network round trip is a large part of such an observation.
	minGain = 0.3
	// priorWeight is the weight of the estimate for all engines, in observations.
	priorWeight = 0.7
	// maxLogDeviation bounds the natural logarithm of the ratio of one observation to the
	// estimate for all engines: a factor of 6.
	maxLogDeviation = 1.8
	// overdueFraction is the expected remaining wait for an overdue first event, as a
	// fraction of the time that it is overdue.
	overdueFraction = 0.5
)

// PendingPrompt is the prompt of a request that was sent to an engine and has had no first
// event.
type PendingPrompt struct {
	tokens    float64 // to prefill
	remaining float64 // estimated number of these that are not prefilled yet
	priority  int
	sentAt    time.Time
	// prefillStart is the time at which the prefill began. It is zero while other prompts
	// are ahead, and if the time is unknown.
	prefillStart time.Time
	// expectedAt is the expected time of the first event.
	expectedAt time.Time
}

// Engine holds the pending prompts of one engine and the estimate of its speed. The zero
// value has no pending prompts and no observations.
type Engine struct {
	// queue holds the pending prompts in the order in which the engine prefills them.
	queue []*PendingPrompt
	// advancedTo is the time up to which the remaining tokens in queue are estimated.
	advancedTo time.Time
	// logTimePerToken is the natural logarithm of the engine's own time per token in ms.
	// evidenceWeight is its weight at lastObserved, as a number of fresh observations.
	logTimePerToken float64
	evidenceWeight  float64
	lastObserved    time.Time
	// pace is the result of timePerToken at paceAt for the shared estimate paceShared. A round asks
	// for it at the same time for each waiting request.
	paceAt           time.Time
	paceShared, pace float64
}

// Begin records a request that is sent to the engine now. tokens is the number of prompt
// tokens that the engine has to prefill. Smaller priorities are more urgent.
func (e *Engine) Begin(now time.Time, s *Speed, tokens, priority int) *PendingPrompt {
	expectedAt := now.Add(e.TimeToFirstEvent(now, s, tokens, priority))
	n := float64(max(tokens, 1))
	p := &PendingPrompt{tokens: n, remaining: n, priority: priority, sentAt: now, expectedAt: expectedAt}
	index := e.queueIndex(priority)
	if index == 0 {
		p.prefillStart = now
	}
	e.queue = slices.Insert(e.queue, index, p)
	return p
}

// queueIndex returns the index in the queue for a new prompt of a priority. A new prompt
// is never inserted before the first one, which is being prefilled.
func (e *Engine) queueIndex(priority int) int {
	for i, p := range e.queue {
		if i > 0 && p.priority > priority {
			return i
		}
	}
	return len(e.queue)
}

// ObserveFirstEvent records the first event of a request and updates the estimates.
func (e *Engine) ObserveFirstEvent(now time.Time, s *Speed, p *PendingPrompt) {
	e.advance(now, s)
	if !p.prefillStart.IsZero() {
		tookMs := ms(now.Sub(p.prefillStart))
		e.observePrefill(now, s, p.tokens, tookMs)
		s.observePrefill(p.tokens, tookMs, p.prefillStart.Equal(p.sentAt))
	}
	e.remove(p, now.Add(-s.Overhead()))
}

// Drop records the end of a request that has had no first event. It has no effect on a
// request that has been removed already.
func (e *Engine) Drop(now time.Time, s *Speed, p *PendingPrompt) {
	e.advance(now, s)
	e.remove(p, time.Time{})
}

// remove removes a prompt from the queue. If the engine was prefilling it, the prefill of
// the next prompt begins at nextStart; zero means that the time is unknown.
func (e *Engine) remove(p *PendingPrompt, nextStart time.Time) {
	i := slices.Index(e.queue, p)
	if i < 0 {
		return
	}
	e.queue = slices.Delete(e.queue, i, i+1)
	if i > 0 || len(e.queue) == 0 {
		return
	}
	if next := e.queue[0]; next.prefillStart.IsZero() && !nextStart.IsZero() {
		next.prefillStart = coord.Later(nextStart, next.sentAt)
	}
}

// observePrefill updates the engine's own time per token with a first event that came tookMs
// after the prefill of the given tokens began. A slow engine lengthens both the prefill and the
// overhead; the weight of the observation grows with the prefill's part of the expected time.
func (e *Engine) observePrefill(now time.Time, s *Speed, tokens, tookMs float64) {
	prefill := tokens * s.timePerToken.value()
	expected := prefill + s.overhead.value()
	deviation := math.Log(max(tookMs, minObservedFraction*expected) / expected)
	observed := s.timePerToken.logValue + min(max(deviation, -maxLogDeviation), maxLogDeviation)
	gain := max(prefill/expected, minGain)
	weight := e.evidenceAt(now) + gain
	e.logTimePerToken += gain * max(1/weight, minObservationWeight) * (observed - e.logTimePerToken)
	e.evidenceWeight = min(weight, 1/minObservationWeight)
	e.lastObserved = now
	e.paceAt = time.Time{}
}

// evidenceAt returns the decayed weight of the engine's own time per token, in observations.
func (e *Engine) evidenceAt(now time.Time) float64 {
	return decayedEvidence(e.evidenceWeight, now.Sub(e.lastObserved))
}

// decayedEvidence returns what is left of the weight of observations of a given age.
func decayedEvidence(weight float64, age time.Duration) float64 {
	if weight == 0 {
		return 0
	}
	return weight * math.Exp2(-float64(age)/float64(evidenceHalfLife))
}

// timePerToken returns the estimated time per token of the engine in ms.
func (e *Engine) timePerToken(now time.Time, s *Speed) float64 {
	shared := s.timePerToken.logValue
	if !now.Equal(e.paceAt) || shared != e.paceShared {
		weight := e.evidenceAt(now)
		e.pace = math.Exp(shared + weight/(weight+priorWeight)*(e.logTimePerToken-shared))
		e.paceAt, e.paceShared = now, shared
	}
	return e.pace
}

// advance reduces the remaining tokens by the estimated prefill until now.
func (e *Engine) advance(now time.Time, s *Speed) {
	if now.Equal(e.advancedTo) {
		return
	}
	tokens := ms(now.Sub(e.advancedTo)) / e.timePerToken(now, s)
	e.advancedTo = now
	for _, p := range e.queue {
		if tokens <= 0 {
			return
		}
		prefilled := min(p.remaining, tokens)
		p.remaining -= prefilled
		tokens -= prefilled
	}
}

// TimeToFirstEvent returns the expected time to the first event of a request if it is sent
// now.
func (e *Engine) TimeToFirstEvent(now time.Time, s *Speed, tokens, priority int) time.Duration {
	e.advance(now, s)
	ahead := float64(tokens)
	for _, p := range e.queue[:e.queueIndex(priority)] {
		ahead += p.remaining
	}
	perToken := e.timePerToken(now, s)
	return duration(perToken*(ahead+s.overhead.value()/s.timePerToken.value())) + e.overdueDelay(now)
}

// overdueDelay returns the expected additional delay because the first event of the prompt
// that is being prefilled is overdue.
func (e *Engine) overdueDelay(now time.Time) time.Duration {
	if len(e.queue) == 0 {
		return 0
	}
	overdue := now.Sub(e.queue[0].expectedAt)
	return time.Duration(overdueFraction * float64(max(overdue, 0)))
}
