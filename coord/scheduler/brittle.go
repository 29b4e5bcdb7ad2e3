package scheduler

import "time"

// ReasonBrittle is the reason for refusals when the targets crash if they reject too many requests,
// and none has room in time.
const ReasonBrittle = "no_room"

const (
	// unknownBatch is the batch of engines whose configuration has none.
	unknownBatch = 16
	// minStreamTime bounds the expected duration of a stream before any has been observed.
	minStreamTime = 10 * time.Millisecond
)

// SetRejectionLimits replaces the numbers of rejections per second with which brittle targets crash.
// share is the part of the fleet whose requests this VM schedules.
func (s *Scheduler) SetRejectionLimits(now time.Time, limits map[string]float64, share float64) []Action {
	s.guard.SetLimits(now, limits, share)
	return s.runRound(now)
}

// readyTargets lists the targets that are announced as ready.
func (s *Scheduler) readyTargets() (ids []string) {
	for _, id := range s.targetIDs {
		if s.targets[id].ready {
			ids = append(ids, id)
		}
	}
	return ids
}

// maxRunning returns how many requests a brittle target may run at once.
func (s *Scheduler) maxRunning(now time.Time, t *target) (n int, brittle bool) {
	batch := s.cfg.Batch
	if batch <= 0 {
		batch = unknownBatch
	}
	return s.guard.Allowed(now, t.id, batch)
}

// hasRoom reports whether a target may get one more request, as far as it is brittle.
func (s *Scheduler) hasRoom(now time.Time, t *target) bool {
	n, brittle := s.maxRunning(now, t)
	return !brittle || t.running < n
}

// roomRate returns how many requests per second a brittle target ends, and the expected time until
// it has room for one more.
func (s *Scheduler) roomRate(now time.Time, t *target) (perSecond float64, wait time.Duration, brittle bool) {
	n, brittle := s.maxRunning(now, t)
	if !brittle {
		return 0, 0, false
	}
	interval := max(s.speed.MeanStreamTime(), minStreamTime) / time.Duration(max(n, 1))
	if t.running >= n {
		wait = interval
	}
	return float64(time.Second) / float64(interval), wait, true
}
