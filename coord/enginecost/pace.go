package enginecost

import (
	"math"
	"time"
)

// The time from the first event of a stream to its end is learnt as follows. Senders announce the
// maximum output of a request, and the length of its output is not observed. Speed therefore keeps the
// mean stream time and the mean announced output, and Pace the time of an engine's streams per
// announced token, relative to that of the service.

const (
	// priorPaceWeight is the weight of the usual pace, in streams.
	priorPaceWeight = 0.7
	// minPaceWeight is the smallest weight of a stream in the pace of its engine. With it, six
	// streams show three quarters of a change.
	minPaceWeight = 0.2
	// paceNoise is the deviation from the usual pace, as a natural logarithm, that is not told from
	// random lengths of outputs. Where all engines are equally fast, decisions do not depend on pace.
	paceNoise = 0.1
	// maxOutputRatio bounds the ratio of an announced output to the mean one.
	maxOutputRatio = 8.0
)

// Pace is the decode pace of one engine. The zero value is the usual pace.
type Pace struct {
	// logTimePerToken is the decayed mean of the natural logarithm of stream times in ms over announced
	// tokens, and weight its weight at observedAt, as a number of fresh observations.
	logTimePerToken float64
	weight          float64
	observedAt      time.Time
}

// ObserveStream records a stream that was complete took after its first event. output is the
// announced output in tokens; 0 if unknown.
func (p *Pace) ObserveStream(now time.Time, s *Speed, output int, took time.Duration) {
	s.meanStreamMs += streamTimeWeight * (ms(took) - s.meanStreamMs)
	if output <= 0 {
		return
	}
	logTime := math.Log(max(ms(took), 1) / float64(output))
	if s.streams == 0 {
		s.meanOutput, s.meanLogTimePerToken = float64(output), logTime
	}
	s.streams++
	logTime = s.meanLogTimePerToken + min(max(logTime-s.meanLogTimePerToken, -maxLogDeviation), maxLogDeviation)
	weight := max(1/float64(s.streams), streamTimeWeight)
	s.meanOutput += weight * (float64(output) - s.meanOutput)
	s.meanLogTimePerToken += weight * (logTime - s.meanLogTimePerToken)
	own := p.weightAt(now) + 1
	p.logTimePerToken += max(1/own, minPaceWeight) * (logTime - p.logTimePerToken)
	p.weight = min(own, 1/minPaceWeight)
	p.observedAt = now
}

// weightAt returns the decayed weight of the engine's own observations.
func (p *Pace) weightAt(now time.Time) float64 {
	return decayedEvidence(p.weight, now.Sub(p.observedAt))
}

// Ratio returns the expected ratio of the engine's stream times to the usual ones.
func (p *Pace) Ratio(now time.Time, s *Speed) float64 {
	weight := p.weightAt(now)
	if weight == 0 {
		return 1
	}
	deviation := p.logTimePerToken - s.meanLogTimePerToken
	beyondNoise := math.Copysign(max(math.Abs(deviation)-paceNoise, 0), deviation)
	return math.Exp(weight / (weight + priorPaceWeight) * beyondNoise)
}

// RunTime returns the expected time from the first event of a stream to its end at an engine of usual
// pace. output is the announced output in tokens; 0 if unknown.
func (s *Speed) RunTime(output int) time.Duration {
	if output <= 0 || s.streams == 0 {
		return s.MeanStreamTime()
	}
	ratio := min(max(float64(output)/s.meanOutput, 1/maxOutputRatio), maxOutputRatio)
	return duration(s.meanStreamMs * ratio)
}
