package fleet

import "time"

// Notice is what a target says of itself beside an answer; the zero value: nothing.
type Notice struct {
	// Leaving says that it ends soon and is to get no further requests.
	Leaving bool
	// Rest is for how long it wants no requests from this VM; 0: it does not ask for rest.
	Rest time.Duration
}
