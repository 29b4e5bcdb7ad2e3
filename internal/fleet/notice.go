package fleet

import "time"

// Notice is what a target says of itself beside an answer; the zero value: nothing.
type Notice struct {
	// Leaving says that it ends soon and is to get no further requests.
	Leaving bool
	// Backoff is for how long it wants no requests from this VM; 0: it does not ask for rest.
	Backoff time.Duration
	// RateLimit bounds the requests that it takes.
	RateLimit RateLimit
}

// RateLimit bounds the requests that a target takes from all VMs together, for as long as its answers
// name it.
type RateLimit struct {
	Present bool
	// PerSecond is UnreadableRate where the named limit could not be read.
	PerSecond float64
}

// InvalidRate stands for a limit that was named and could not be read.
const InvalidRate = -1
