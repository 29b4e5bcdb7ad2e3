package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTickOfAVMThatIsNotAsked measures Tick at a VM that is not the leader, with 3,000
// targets. Every VM calls Tick 50 times a second.
func BenchmarkTickOfAVMThatIsNotAsked(b *testing.B) {
	s := New(config(14))
	var listed []AnnouncedTarget
	for i := range 3000 {
		listed = append(listed, AnnouncedTarget{ID: fmt.Sprintf("t%04d", i), Ready: true, Resident: []ResidentItem{{Ref: base}, {Ref: ref("a")}}})
	}
	now := start
	s.SetTargets(now, listed)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(20 * time.Millisecond)
		s.Tick(now)
	}
}
