package fleet

import "time"

// Notice is what a target reports about itself beside an answer. The zero value reports nothing.
type Notice struct {
	// Leaving means that the target shuts down soon and must receive no further requests.
	Leaving bool
	// Backoff is how long the target asks this VM to send no requests; 0: no backoff requested.
	Backoff time.Duration
	// RateLimit bounds the requests that the target accepts.
	RateLimit RateLimit
	// RejectionLimit bounds the requests that the target can reject for lack of capacity, from all
	// VMs together: it crashes if it rejects more.
	RejectionLimit RateLimit
}

// RateLimit is a limit per second that a target announces, over all VMs. It applies for as long as
// the target's answers carry it.
type RateLimit struct {
	Present bool
	// PerSecond is InvalidRate if the limit could not be parsed.
	PerSecond float64
}

// InvalidRate stands for a limit that was present but could not be parsed.
const InvalidRate = -1
