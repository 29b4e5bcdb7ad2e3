package enginecost

import "math"

// medianEstimate tracks the median of a positive quantity by steps in its logarithm. Each
// observation moves it up or down by at most one step, however large the deviation is. Steps grow
// while observations lie on the same side of the estimate and shrink while they alternate.
type medianEstimate struct {
	logValue float64
	// current is the quantity, of which logValue is the natural logarithm.
	current float64
	step    float64
	lastUp  bool
}

// Parameters of the steps, in natural logarithms.
const (
	// initialStep is the first step from a prior. With it, about eight observations correct
	// a factor of ten.
	initialStep = 0.3
	maxStep     = 0.5
	// minStep keeps the estimate following slow changes: 1% per observation.
	minStep = 0.01
	// stepGrowth is the factor of the step after an observation on the same side as the
	// previous one, stepShrink after an observation on the other side.
	stepGrowth = 1.2
	stepShrink = 0.6
)

func newMedianEstimate(prior float64) medianEstimate {
	return medianEstimate{logValue: math.Log(prior), current: math.Exp(math.Log(prior)), step: initialStep}
}

func (m *medianEstimate) value() float64 { return m.current }

// observe updates the estimate with the ratio of an observation to the current estimate.
// ratio must be positive.
func (m *medianEstimate) observe(ratio float64) {
	deviation := math.Log(ratio)
	if deviation == 0 {
		return
	}
	up := deviation > 0
	if up == m.lastUp {
		m.step = min(m.step*stepGrowth, maxStep)
	} else {
		m.step = max(m.step*stepShrink, minStep)
	}
	m.lastUp = up
	m.logValue += math.Copysign(min(m.step, math.Abs(deviation)), deviation)
	m.current = math.Exp(m.logValue)
}
