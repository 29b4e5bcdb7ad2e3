package feed

import (
	"context"
	"math/rand/v2"
	"time"
)

// Where requests carry keys, a key that was taken away must not run later than a bound, on
// any VM, whatever it reaches. So each VM proves its copy by a question that it asks itself:
// what the answer holds was so at the question or, at a VM that has it from another, as long
// before as that VM proved in the same way. Of the bound's 5 s a proof takes (ms, worst case
// while the store serves its readers):
//
//	a reader's watch, from when it was begun until the next   500 + 375 + 10
//	a VM that asks a reader, askShare of the bound            2000 + proofCheck
//	its question and the answer, pullTimeout                  500
//
// so that copies are 2.6 s old at most while a reader answers, and 0.9 s after its answer. Where
// none does, readShare leaves 1.9 s for reads of the VM's own until the bound.
//
// The answer is a revision and an age, and what is missing is asked for only then: a reader that
// has read everything anew, as after a start, answers a question for changes with all that it
// holds, which 300 VMs would ask of it again and again.
const (
	// KeyAgeShare of the bound is the age of a copy up to which keys are judged by it. The
	// rest is for clocks that differ by some ms a minute, and timers.
	KeyAgeShare = 0.98
	// askShare of the bound is the age from which a VM asks a reader.
	askShare = 0.4
	// readShare of it is the age from which it reads the store itself: readers are silent or
	// out of reach.
	readShare = 0.6
	// proofCheck is how often a VM looks.
	proofCheck = 100 * time.Millisecond
	// proofAgain is the pause after a reader was asked in vain, drawn anew each time.
	proofAgain = 250 * time.Millisecond
)

// RunConfirmation keeps the copy proven until the context ends. It does nothing where keys are not
// asked for or not bound.
func (f *Feed) RunConfirmation(ctx context.Context) {
	for ctx.Err() == nil {
		pause := f.proveOnce(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (f *Feed) proveOnce(ctx context.Context) (pause time.Duration) {
	d := f.Directory()
	if f.cfg.ConfirmWithin == 0 || d.Config == nil || d.Config.Teams == nil || !f.olderThan(askShare) {
		return proofCheck
	}
	if f.cfg.Peers.IsStoreWatcher() { // its own reads do not prove enough: the store turns it away
		f.catchUpFromPeer(ctx, f.Revision())
		return proofAgain
	}
	f.askReader(ctx)
	if !f.olderThan(readShare) {
		return proofAgain/2 + rand.N(proofAgain)
	}
	return f.watch(ctx, 0, ownGap)
}

// olderThan reports whether the copy may be older than a share of the bound.
func (f *Feed) olderThan(share float64) bool {
	return f.ConfirmedAge() > time.Duration(share*float64(f.cfg.ConfirmWithin))
}

func (f *Feed) askReader(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	asked := f.cfg.Now()
	vm, p, err := f.cfg.Peers.QueryStoreWatcher(ctx)
	if err != nil {
		f.cfg.Log.PeerCallFailed("feed_proof", "reader", err)
		return
	}
	if f.provedBy(asked, p) {
		f.pullFrom(vm)
	}
}

// provedBy takes a reader's answer. It reports whether this copy lacks changes.
func (f *Feed) provedBy(asked time.Time, p Confirmation) (behind bool) {
	f.notify.Lock() // what is proven must be published
	defer f.notify.Unlock()
	f.mu.Lock()
	behind = f.cache.proveBy(asked, p)
	proven := f.cache.proven
	f.mu.Unlock()
	f.proven.Store(&proven)
	return behind
}
