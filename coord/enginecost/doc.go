// Package enginecost estimates how fast the engines of a service are, and how much work
// each of them has queued.
//
// Engines run requests in batches. Each engine prefills prompts one after another, in
// chunks between the decode steps of the running requests: the most urgent prompt first,
// and the oldest first among equally urgent ones. A prompt whose prefill has begun is
// completed before the next one. The time to the first event of a response is therefore
// the wait for the prompts ahead, the prefill of the request's own prompt, and a fixed
// overhead:
//
//	first event = wait + tokens x time per token + overhead
//
// Engines publish none of these values. They are estimated from the one observation that
// the sender of every stream can make, the time of its first event:
//
//   - Speed holds the estimates that apply to all engines of a service: the usual time per
//     token, the overhead, and the time that a stream continues after its first event. The
//     first two are medians, so that a few slow engines do not change them; see
//     medianEstimate.
//   - Engine holds the state of one engine: the prompts that were sent to it and have had
//     no first event, and its own time per token. The weight of the engine's own
//     observations grows with their number and decays with their age. Without
//     observations, Speed applies. This distinguishes one engine that is slower than the
//     others from a deployment in which all engines are slower than those of the previous
//     one.
//
// A prompt whose first event is overdue shows that its engine is slower than estimated or
// has stalled. The expected wait at that engine grows with the time that the event is
// overdue.
//
// All types are state machines that receive the time as an argument. Queries do not
// allocate. The package is not safe for concurrent use.
package enginecost
