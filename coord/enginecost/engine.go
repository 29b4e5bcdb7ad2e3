package enginecost

import (
	"math"
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// Figures of what one engine showed.
const (
	// ownWeight is the least weight of one observation in an engine's own time per
	// token: about four observations show that it has become slow.
	ownWeight = 0.3
	// ownHalfLife is the time in which what an engine showed loses half of its
	// weight: a slow period lasts some seconds, a slower accelerator stays.
	ownHalfLife = 20 * time.Second
	// leastGain is the weight of an observation that was all overhead: the jitter of
	// the way there and back is a good part of it.
	leastGain = 0.3
	// ownPrior is the weight of what holds for all engines, in observations.
	ownPrior = 0.7
	// ownBound bounds one observation of an engine, as a logarithm: a factor of 6.
	ownBound = 1.8
	// overdueShare of the time that a first event is overdue is expected to pass
	// again until it comes.
	overdueShare = 0.5
)

// PendingPrompt is a request that an engine was sent and that has had no first event.
type PendingPrompt struct {
	tokens   float64 // to read
	left     float64 // of these, as far as is believed
	priority int
	sent     time.Time
	// began is when the engine began to read it; zero: others are ahead of it, or it
	// is not known.
	began time.Time
	// due is when the first event is expected.
	due time.Time
}

// Engine is what is believed of one engine.
type Engine struct {
	// queue has the prompts in the order in which the engine reads them.
	queue []*PendingPrompt
	// at is until when queue was brought forward.
	at time.Time
	// own is the logarithm of the engine's own time per token in ms, weight how many
	// observations of a moment ago it is worth at seen.
	own    float64
	weight float64
	seen   time.Time
}

// Begin takes a request that is sent to the engine now. tokens is what of its prompt
// the engine has to read.
func (e *Engine) Begin(now time.Time, s *Speed, tokens, priority int) *PendingPrompt {
	due := now.Add(e.TimeToFirstEvent(now, s, tokens, priority))
	n := float64(max(tokens, 1))
	p := &PendingPrompt{tokens: n, left: n, priority: priority, sent: now, due: due}
	place := e.place(priority)
	if place == 0 {
		p.began = now
	}
	e.queue = slices.Insert(e.queue, place, p)
	return p
}

// place returns where a new prompt of a priority comes in the queue: the first one is
// being read.
func (e *Engine) place(priority int) int {
	for i, p := range e.queue {
		if i > 0 && p.priority > priority {
			return i
		}
	}
	return len(e.queue)
}

// ObserveFirstEvent takes the first event of a request.
func (e *Engine) ObserveFirstEvent(now time.Time, s *Speed, p *PendingPrompt) {
	e.forward(now, s)
	if !p.began.IsZero() {
		took := ms(now.Sub(p.began))
		e.learn(now, s, p.tokens, took)
		s.learn(p.tokens, took, p.began.Equal(p.sent))
	}
	e.remove(p, now.Add(-s.Overhead()))
}

// Drop takes the end of a request that has had no first event.
func (e *Engine) Drop(now time.Time, s *Speed, p *PendingPrompt) {
	e.forward(now, s)
	e.remove(p, time.Time{})
}

// remove takes a prompt out. The next one was begun at the time given, if the engine
// was reading this one.
func (e *Engine) remove(p *PendingPrompt, began time.Time) {
	i := slices.Index(e.queue, p)
	if i < 0 {
		return
	}
	e.queue = slices.Delete(e.queue, i, i+1)
	if i > 0 || len(e.queue) == 0 {
		return
	}
	if next := e.queue[0]; next.began.IsZero() && !began.IsZero() {
		next.began = coord.Later(began, next.sent)
	}
}

// learn takes how long the engine itself took. The more of it was reading, the more it
// says: what is slow at an engine makes both parts longer.
func (e *Engine) learn(now time.Time, s *Speed, tokens, took float64) {
	reading := tokens * s.perToken.value()
	expected := reading + s.overhead.value()
	off := math.Log(max(took, leastShare*expected) / expected)
	seen := s.perToken.log + min(max(off, -ownBound), ownBound)
	gain := max(reading/expected, leastGain)
	weight := e.evidence(now) + gain
	e.own += gain * max(1/weight, ownWeight) * (seen - e.own)
	e.weight = min(weight, 1/ownWeight)
	e.seen = now
}

// evidence is how many observations the engine's own time per token is worth now.
func (e *Engine) evidence(now time.Time) float64 {
	if e.weight == 0 {
		return 0
	}
	return e.weight * math.Exp2(-float64(now.Sub(e.seen))/float64(ownHalfLife))
}

// perToken is the engine's time per token in ms, as believed.
func (e *Engine) perToken(now time.Time, s *Speed) float64 {
	weight := e.evidence(now)
	return math.Exp(s.perToken.log + weight/(weight+ownPrior)*(e.own-s.perToken.log))
}

// forward lets the engine read until now.
func (e *Engine) forward(now time.Time, s *Speed) {
	tokens := ms(now.Sub(e.at)) / e.perToken(now, s)
	e.at = now
	for _, p := range e.queue {
		if tokens <= 0 {
			return
		}
		read := min(p.left, tokens)
		p.left -= read
		tokens -= read
	}
}

// TimeToFirstEvent is the expected time to the first event of a request that would be sent
// now.
func (e *Engine) TimeToFirstEvent(now time.Time, s *Speed, tokens, priority int) time.Duration {
	e.forward(now, s)
	ahead := float64(tokens)
	for _, p := range e.queue[:e.place(priority)] {
		ahead += p.left
	}
	own := e.perToken(now, s)
	return duration(own*(ahead+s.overhead.value()/s.perToken.value())) + e.overdue(now)
}

// overdue is how much longer the prompt that is being read is expected to take beyond
// what was believed.
func (e *Engine) overdue(now time.Time) time.Duration {
	if len(e.queue) == 0 {
		return 0
	}
	late := now.Sub(e.queue[0].due)
	return time.Duration(overdueShare * float64(max(late, 0)))
}
