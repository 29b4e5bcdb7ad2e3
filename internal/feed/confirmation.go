package feed

import (
	"context"
	"math/rand/v2"
	"time"
)

// Where requests carry API keys, no VM may accept a revoked key later than a fixed bound after the
// revocation, whatever that VM can reach. Each VM therefore bounds the age of its copy by queries
// of its own. The content of a response was current when the query was sent. If the responding VM
// has it from another VM, it was current earlier by the age that the responding VM has confirmed in
// the same way. Of the bound of 5 s, a confirmation takes at worst, in ms, while the store serves
// its watchers:
//
//	a store watcher's watch, from its start to the next one         500 + 375 + 10
//	the age at which a VM queries a watcher (watcherQueryShare)     2000 + confirmationCheckInterval
//	the query and its response (peerQueryTimeout)                   500
//
// Copies are therefore at most 2.6 s old while a watcher responds, and 0.9 s after its response. If
// no watcher responds, directReadShare leaves 1.9 s for direct reads of the store until the bound.
//
// The response holds only a revision and an age, and missing changes are pulled only after it. A
// watcher that has read everything again, as after a restart, answers a pull with the whole store,
// which 300 VMs would otherwise request from it again and again.
const (
	// KeyAgeShare of the bound is the maximum age of a copy that keys are checked against. The rest
	// allows for clocks that drift by some ms a minute, and for timers.
	KeyAgeShare = 0.98
	// watcherQueryShare of the bound is the age from which a VM queries a store watcher.
	watcherQueryShare = 0.4
	// directReadShare of the bound is the age from which a VM reads the store itself, because the
	// watchers are unresponsive or unreachable.
	directReadShare = 0.6
	// confirmationCheckInterval is how often a VM checks the age of its copy.
	confirmationCheckInterval = 100 * time.Millisecond
	// confirmationRetryDelay is the mean delay after a failed query to a watcher. It is drawn at
	// random each time.
	confirmationRetryDelay = 250 * time.Millisecond
)

// RunConfirmation keeps the copy confirmed until the context ends. It does nothing if requests need
// no keys or the age of the copy is not limited.
func (f *Feed) RunConfirmation(ctx context.Context) {
	for ctx.Err() == nil {
		delay := f.confirmOnce(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(f.cfg.align(delay)):
		}
	}
}

func (f *Feed) confirmOnce(ctx context.Context) (delay time.Duration) {
	d := f.Directory()
	if f.cfg.ConfirmWithin == 0 || d.Config == nil || d.Config.Teams == nil || !f.isConfirmationOlderThan(watcherQueryShare) {
		return confirmationCheckInterval
	}
	if f.cfg.Peers.IsStoreWatcher() { // its own reads fail: the store rejects it
		f.catchUpFromPeer(ctx, f.Revision())
		return confirmationRetryDelay
	}
	f.queryStoreWatcher(ctx)
	if !f.isConfirmationOlderThan(directReadShare) {
		return confirmationRetryDelay/2 + rand.N(confirmationRetryDelay)
	}
	return f.watch(ctx, 0, directReadGap)
}

// isConfirmationOlderThan reports whether the copy may be older than a share of the bound.
func (f *Feed) isConfirmationOlderThan(share float64) bool {
	return f.ConfirmedAge() > time.Duration(share*float64(f.cfg.ConfirmWithin))
}

func (f *Feed) queryStoreWatcher(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	requestedAt := f.cfg.Now()
	vm, confirmation, err := f.cfg.Peers.QueryStoreWatcher(ctx)
	if err != nil {
		f.cfg.Log.PeerCallFailed("feed_proof", "reader", err)
		return
	}
	if f.applyConfirmation(requestedAt, confirmation) {
		f.pullFrom(vm)
	}
}

// applyConfirmation applies a watcher's response. behind reports that this copy lacks changes.
func (f *Feed) applyConfirmation(requestedAt time.Time, confirmation Confirmation) (behind bool) {
	f.notify.Lock() // the directory that confirmedAt vouches for must be published before it is stored
	defer f.notify.Unlock()
	f.mu.Lock()
	behind = f.cache.confirmByPeer(requestedAt, confirmation)
	confirmedAt := f.cache.confirmedAt
	f.mu.Unlock()
	f.confirmedAt.Store(&confirmedAt)
	return behind
}
