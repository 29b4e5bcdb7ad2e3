package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRoundWithFullBrittleTargets measures one round over the requests that wait for brittle
// targets without room.
func BenchmarkRoundWithFullBrittleTargets(b *testing.B) {
	for _, targets := range []int{140, 1500} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			s := New(config(3))
			var listed []AnnouncedTarget
			for i := range targets {
				listed = append(listed, AnnouncedTarget{ID: fmt.Sprintf("t%d", i), Ready: true, Resident: []ResidentItem{{Ref: base}}})
			}
			s.SetTargets(start, listed)
			s.SetLeading(start, true, nil)
			now := start.Add(10 * time.Second)
			s.SetRejectionLimits(now, map[string]float64{"t0": 2}, 1)
			for i := range 20 * targets {
				s.Submit(now, Request{
					Key: Key{VM: "vm", Ticket: uint64(i)}, Ref: base, PromptTokens: 300, OutputTokens: 50,
					Objective: 800 * time.Millisecond, Deadline: now.Add(15 * time.Second),
				})
			}
			b.ReportMetric(float64(len(s.waiting)), "waiting")
			b.ResetTimer()
			for range b.N {
				s.runRound(now)
			}
		})
	}
}
