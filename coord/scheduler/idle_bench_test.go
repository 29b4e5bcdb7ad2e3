package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTickOfAVMThatIsNotAsked is what each VM of a fleet does 50 times a second beside
// 3,000 targets.
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
