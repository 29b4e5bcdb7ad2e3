package edge

import (
	"github.com/junctionfold/junctionfold/coord/balance"
	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/schema"
)

// protoEndings maps endings of requests to engines to their wire values; endings is its inverse.
var protoEndings = map[scheduler.Ending]schema.Ending{
	scheduler.EndedOK:            schema.Ending_ENDING_OK,
	scheduler.EndedBusy:          schema.Ending_ENDING_BUSY,
	scheduler.EndedMisrouted:     schema.Ending_ENDING_MISPLACED,
	scheduler.EndedFailed:        schema.Ending_ENDING_FAILED,
	scheduler.EndedDisconnected:  schema.Ending_ENDING_BROKE,
	scheduler.EndedUnreachable:   schema.Ending_ENDING_UNREACHABLE,
	scheduler.EndedAbandoned:     schema.Ending_ENDING_ABANDONED,
	scheduler.EndedWithdrawn:     schema.Ending_ENDING_WITHDRAWN,
	scheduler.EndedUnverified:    schema.Ending_ENDING_UNVERIFIED,
	scheduler.EndedNoConnection:  schema.Ending_ENDING_NO_CONNECTION,
	scheduler.EndedErrorResponse: schema.Ending_ENDING_ERROR_RESPONSE,
}

var endings = inverse(protoEndings)

// protoPlainEndings maps endings of requests to plain targets to their wire values; plainEndings is
// its inverse.
var protoPlainEndings = map[balance.Ending]schema.Ending{
	balance.OK:            schema.Ending_ENDING_OK,
	balance.Busy:          schema.Ending_ENDING_BUSY,
	balance.Failed:        schema.Ending_ENDING_FAILED,
	balance.Disconnected:  schema.Ending_ENDING_BROKE,
	balance.Abandoned:     schema.Ending_ENDING_ABANDONED,
	balance.Unreachable:   schema.Ending_ENDING_UNREACHABLE,
	balance.TimedOut:      schema.Ending_ENDING_HUNG,
	balance.Unverified:    schema.Ending_ENDING_UNVERIFIED,
	balance.NoConnection:  schema.Ending_ENDING_NO_CONNECTION,
	balance.ErrorResponse: schema.Ending_ENDING_ERROR_RESPONSE,
}

var plainEndings = inverse(protoPlainEndings)

// inverse returns a map with keys and values swapped. The values of m must be distinct.
func inverse[A, B comparable](m map[A]B) map[B]A {
	out := make(map[B]A, len(m))
	for a, b := range m {
		out[b] = a
	}
	return out
}

// notRun holds the endings after which a request has certainly not run.
var notRun = map[schema.Ending]bool{
	schema.Ending_ENDING_BUSY: true, schema.Ending_ENDING_MISPLACED: true,
	schema.Ending_ENDING_UNREACHABLE: true, schema.Ending_ENDING_WITHDRAWN: true, schema.Ending_ENDING_NO_CONNECTION: true,
}

// responded holds the endings, and the first event, that show that the target was reached.
var responded = map[schema.Ending]bool{
	schema.Ending_ENDING_OK: true, schema.Ending_ENDING_UNVERIFIED: true, schema.Ending_ENDING_FIRST_EVENT: true,
}
