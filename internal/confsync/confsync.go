// Package confsync keeps the bundle and the VM list up to date. Their versions
// never decrease.
//
// Only two VMs of each availability zone, the watchers, read the platform
// continuously. A watcher notifies the VMs of its zone and one VM of each other
// zone of a new version immediately. In addition, each VM compares versions with
// a random peer once a second, and the VM with the older version fetches the newer
// one. A version that reached any VM therefore spreads to all VMs even if the
// platform cannot be read. VMs that are not watchers read the platform rarely and
// at random times, in case they are disconnected from all watchers.
// docs/design/configuration.md compares this with polling.
package confsync

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/confver"
	"github.com/junctionfold/junctionfold/internal/bundle"
	"github.com/junctionfold/junctionfold/internal/platform"
	"github.com/junctionfold/junctionfold/internal/wait"
	"github.com/junctionfold/junctionfold/schema"
)

// Peers sends calls to other VMs.
type Peers interface {
	Call(ctx context.Context, vm coord.VMID, c *schema.Call) (*schema.Reply, error)
	CallAddress(ctx context.Context, address string, c *schema.Call) (*schema.Reply, error)
}

// Membership is the part of the membership view that confsync uses.
type Membership interface {
	// Others returns the other listed VMs.
	Others() []coord.VMID
	// IsWatcher reports whether this VM reads the platform for its zone.
	IsWatcher() bool
	// PeersToNotify returns the VMs to notify of a new version immediately.
	PeersToNotify() []coord.VMID
}

// Config holds the dependencies and settings of a Sync.
type Config struct {
	Platform interface {
		platform.ConfigService
		platform.VMLister
	}
	Peers    Peers
	Trust    bundle.Trust
	Seeds    []string
	ListPoll time.Duration
	Watch    time.Duration
	Seed     uint64
	Log      log.Interface
	// OnBundle is called with each new bundle before its version is reported to
	// peers.
	OnBundle func(m *schema.Manifest, b *schema.Bundle)
	// OnList is called with each newer VM list.
	OnList func(l *schema.VMList)
	// OnRejected is called with the error for each manifest that was rejected.
	OnRejected func(err error)
	// Heartbeat returns this VM's heartbeat.
	Heartbeat func() *schema.Heartbeat
}

// Sync holds the newest bundle and VM list of one VM. Lock order: fetchMu, then mu.
// mu is never held during a callback or a call to a peer. fetchMu is held during
// OnBundle and the calls that fetch chunks, because it serializes the fetches of
// bundles.
type Sync struct {
	cfg        Config
	membership Membership

	fetchMu sync.Mutex

	mu       sync.Mutex
	tracker  confver.Tracker
	manifest *schema.SignedManifest
	chunks   bundle.Chunks
	list     *schema.VMList
	rng      *rand.Rand
	pulls    chan coord.VMID
}

// pullQueueSize bounds the queue of pulls. A pull that does not fit is dropped; the
// next version comparison requests it again.
const pullQueueSize = 16

// New returns a Sync without a bundle and with an empty VM list.
func New(cfg Config, membership Membership) *Sync {
	return &Sync{
		cfg: cfg, membership: membership, chunks: bundle.Chunks{}, list: &schema.VMList{},
		rng:   rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		pulls: make(chan coord.VMID, pullQueueSize),
	}
}

// Versions returns the versions of the bundle and the VM list in force. They are
// zero before the first one was applied.
func (s *Sync) Versions() (bundleVersion, listVersion uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.InForce(), s.list.GetVersion()
}

// Manifest returns the newest signed manifest, or nil.
func (s *Sync) Manifest() *schema.SignedManifest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.manifest
}

// Chunk returns the chunk of the bundle in force that has the given hash.
func (s *Sync) Chunk(hash []byte) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.chunks[hex.EncodeToString(hash)]
	return data, ok
}

// List returns the newest VM list. It is never nil.
func (s *Sync) List() *schema.VMList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list
}

// Run keeps the bundle and the VM list up to date until the context ends.
func (s *Sync) Run(ctx context.Context) {
	s.bootstrap(ctx)
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){s.watchLoop, s.listLoop, s.compareLoop, s.pullLoop} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// maxStartupPulls bounds the peers that a starting VM pulls from before it reads
// the manifest from the platform, since the platform's manifest may be stale.
const maxStartupPulls = 5

func (s *Sync) bootstrap(ctx context.Context) {
	s.readList(ctx)
	for _, seed := range s.cfg.Seeds {
		s.pullListFromSeed(ctx, seed)
	}
	others := s.membership.Others()
	s.shuffle(others)
	for _, vm := range others[:min(maxStartupPulls, len(others))] {
		s.pull(ctx, vm)
	}
}

func (s *Sync) shuffle(ids []coord.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
}

// jitter returns a random duration in [d, 2d).
func (s *Sync) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d + time.Duration(s.rng.Int64N(int64(d)))
}

// Intervals and timeouts of the loops. A loop with a minimum waits for a random
// time between that minimum and twice that.
const (
	// minIdleReadInterval is the minimum time between two reads of the platform by a
	// VM that is not a watcher.
	minIdleReadInterval = 20 * time.Second
	// minReadRetryDelay is the minimum delay before the platform is read again after
	// a failed read, also while no bundle is in force.
	minReadRetryDelay = time.Second
	// minRejectedRetryDelay is the minimum delay before a rejected manifest is read
	// again.
	minRejectedRetryDelay = 2 * time.Second
	// compareInterval is the time between two version comparisons with a random VM.
	compareInterval = time.Second
	// peerTimeout is the deadline of one call to a peer.
	peerTimeout = 3 * time.Second
)

// watchLoop reads the manifest from the platform: with a watch if this VM is a
// watcher, otherwise at random intervals.
func (s *Sync) watchLoop(ctx context.Context) {
	revision := uint64(0)
	for ctx.Err() == nil {
		value, err := s.readManifest(ctx, revision)
		if err != nil {
			s.cfg.Log.WithError(err).Debug("manifest_unreadable")
			wait.Sleep(ctx, s.jitter(minReadRetryDelay))
			continue
		}
		revision = value.Revision
		if err := s.applyValue(ctx, value); err != nil {
			// The chunks may not be published yet. Resetting the revision reads the
			// same manifest again instead of watching for the next one.
			s.cfg.OnRejected(err)
			revision = 0
			wait.Sleep(ctx, s.jitter(minRejectedRetryDelay))
			continue
		}
		if inForce, _ := s.Versions(); !s.membership.IsWatcher() && inForce > 0 {
			wait.Sleep(ctx, s.jitter(minIdleReadInterval))
		}
	}
}

func (s *Sync) readManifest(ctx context.Context, revision uint64) (platform.Value, error) {
	if s.membership.IsWatcher() && revision > 0 {
		return s.cfg.Platform.Watch(ctx, bundle.ManifestKey, revision, s.cfg.Watch)
	}
	return s.cfg.Platform.Get(ctx, bundle.ManifestKey)
}

func (s *Sync) applyValue(ctx context.Context, value platform.Value) error {
	signed := &schema.SignedManifest{}
	if err := proto.Unmarshal(value.Data, signed); err != nil {
		return errors.Wrap(err, "decode signed manifest")
	}
	return s.applyManifest(ctx, signed, s.chunkFromPlatform)
}

func (s *Sync) chunkFromPlatform(ctx context.Context, hash []byte) ([]byte, error) {
	v, err := s.cfg.Platform.Get(ctx, bundle.ChunkKey(hash))
	return v.Data, err
}
