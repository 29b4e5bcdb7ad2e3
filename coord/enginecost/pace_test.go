package enginecost

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestPaceOfSlowEngine checks that the pace of each engine is found within a few streams although
// outputs are shorter than announced by random amounts, and that it is forgotten.
//
// It guards against a single stream time of all engines: engines that take 2.4 times as long as others
// were expected to free their batch places as fast as those.
func TestPaceOfSlowEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		perToken := rapid.Float64Range(1, 50).Draw(t, "ms per token")
		slowness := []float64{1.7, 0.7, 0.7}
		s, engines := NewSpeed(), make([]Pace, 3)
		now := 0.0
		run := func(n int) {
			for range n {
				for i := range engines {
					announced := 50 + rng.IntN(400)
					used := float64(announced) * (0.6 + 0.4*rng.Float64())
					engines[i].ObserveStream(at(now), s, announced, duration(used*perToken*slowness[i]))
				}
				now += 200
			}
		}
		run(60)
		ratio := engines[0].Ratio(at(now), s) / engines[1].Ratio(at(now), s)
		assert.Assert(t, ratio > 1.5 && ratio < 3, "%.2f", ratio)
		assert.Assert(t, math.Abs(math.Log(ms(s.RunTime(200))/(160*perToken))) < math.Log(1.5), "%v", s.RunTime(200))
		slowness[1] = 2.1
		run(6)
		ratio = engines[1].Ratio(at(now), s) / engines[2].Ratio(at(now), s)
		assert.Assert(t, ratio > 1.3, "slow phase not found: %.2f", ratio)
		decayed := engines[0].Ratio(at(now).Add(5*evidenceHalfLife), s)
		assert.Assert(t, decayed < 1.15, "%.2f", decayed)
	})
}

func TestUnknownOutputUsesMeanStreamTime(t *testing.T) {
	s, p := NewSpeed(), &Pace{}
	assert.Equal(t, s.RunTime(500), priorStreamTime)
	p.ObserveStream(at(0), s, 100, time.Second)
	assert.Equal(t, s.RunTime(0), s.MeanStreamTime())
	assert.Equal(t, s.RunTime(200), 2*s.MeanStreamTime())
}
