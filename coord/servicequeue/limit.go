package servicequeue

// concurrencyLimit computes how many requests a target gets at once.
//
// A target gets one request more than it has slots. The extra request waits at the target, so
// that the next call starts while the end of the previous one is reported and the next grant is
// in transit: about 6 ms for calls of 60 ms. Once a target has rejected the extra request, all
// targets of the service get only as many as they have slots.
//
// The limit does not search for the best throughput, although some targets are slower when
// nearly full. Durations of single calls vary so much that such a search chose four slots where
// six were best (45 and 53 ms a call), and 0.40 of the calls of a heavy load were refused.
type concurrencyLimit struct {
	// noExtra is set once any target has rejected the request beyond its slots.
	noExtra bool
}

const (
	// extraInFlight is the number of requests that a target gets beyond its slots.
	extraInFlight = 1
	// unknownSlotsLimit is the limit of targets that do not report their slots.
	unknownSlotsLimit = 16
)

// recordRejection records that a target rejected a request for lack of capacity. inFlight is
// the number of requests granted to the target at that time, this one included.
func (l *concurrencyLimit) recordRejection(inFlight, slots int) {
	if slots > 0 && inFlight > slots {
		l.noExtra = true
	}
}

// forTarget returns how many requests a target with the given slots gets at once. 0 slots means
// unknown.
func (l *concurrencyLimit) forTarget(slots int) int {
	switch {
	case slots <= 0:
		return unknownSlotsLimit
	case l.noExtra:
		return slots
	}
	return slots + extraInFlight
}
