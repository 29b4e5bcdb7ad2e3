// Package confsync keeps the bundle and the VM list current. Both only move up
// in version.
//
// Few VMs read the platform: two watchers in each hall. What a watcher learns it
// tells at once to the VMs of its hall and to one VM of each other hall; besides,
// every VM compares versions with another one, chosen at random, each second.
// The side that is behind fetches from the side that is ahead. When the platform
// cannot be read, a version that any VM has seen still spreads to all. Other VMs
// read the platform rarely, at random times, in case they are cut off from every
// watcher. docs/design/configuration.md weighs this against polling.
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

// Peers is what confsync needs of the other VMs.
type Peers interface {
	Call(ctx context.Context, vm coord.VMID, c *schema.Call) (*schema.Reply, error)
	CallAddress(ctx context.Context, address string, c *schema.Call) (*schema.Reply, error)
}

// Membership is what confsync needs of the membership view.
type Membership interface {
	// Others returns the other listed VMs.
	Others() []coord.VMID
	// IsWatcher reports whether this VM reads the platform for its hall.
	IsWatcher() bool
	// PeersToNotify returns the VMs to tell of a new version at once.
	PeersToNotify() []coord.VMID
}

// Config holds what a Sync works with.
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
	// OnBundle is called with each bundle that comes into force.
	OnBundle func(m *schema.Manifest, b *schema.Bundle)
	// OnList is called with each newer VM list.
	OnList func(l *schema.VMList)
	// OnRejected is called for each manifest that was not accepted.
	OnRejected func(err error)
	// Heartbeat returns this VM's heartbeat.
	Heartbeat func() *schema.Heartbeat
}

// Sync holds the newest bundle and list of one VM. Lock order: fetch, then mu.
// Neither is held while a callback or a peer is called, but for fetch, which
// makes fetches of bundles one at a time.
type Sync struct {
	cfg    Config
	roster Membership

	fetch sync.Mutex

	mu       sync.Mutex
	gate     confver.Tracker
	manifest *schema.SignedManifest
	chunks   bundle.Chunks
	list     *schema.VMList
	rng      *rand.Rand
	pulls    chan coord.VMID
}

// pullQueue bounds the pulls that wait; a lost one is made up by the next
// comparison.
const pullQueue = 16

// New returns a Sync that holds nothing.
func New(cfg Config, roster Membership) *Sync {
	return &Sync{
		cfg: cfg, roster: roster, chunks: bundle.Chunks{}, list: &schema.VMList{},
		rng:   rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		pulls: make(chan coord.VMID, pullQueue),
	}
}

// Versions returns the versions in force.
func (s *Sync) Versions() (bundleVersion, listVersion uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.InForce(), s.list.GetVersion()
}

// Manifest returns the newest signed manifest, or nil.
func (s *Sync) Manifest() *schema.SignedManifest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.manifest
}

// Chunk returns a chunk of the bundle in force.
func (s *Sync) Chunk(hash []byte) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.chunks[hex.EncodeToString(hash)]
	return data, ok
}

// List returns the newest VM list.
func (s *Sync) List() *schema.VMList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list
}

// Run keeps both current until the context ends.
func (s *Sync) Run(ctx context.Context) {
	s.start(ctx)
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){s.watchLoop, s.listLoop, s.compareLoop, s.pullLoop} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// startAsk bounds how many peers a starting VM asks before it reads the
// platform, which may be stale.
const startAsk = 5

func (s *Sync) start(ctx context.Context) {
	s.readList(ctx)
	for _, seed := range s.cfg.Seeds {
		s.listFromSeed(ctx, seed)
	}
	others := s.roster.Others()
	s.shuffle(others)
	for _, vm := range others[:min(startAsk, len(others))] {
		s.pull(ctx, vm)
	}
}

func (s *Sync) shuffle(ids []coord.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
}

// jitter returns a random time between d and 2d.
func (s *Sync) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d + time.Duration(s.rng.Int64N(int64(d)))
}

// Pauses of the loops.
const (
	// idleRead is the least time between two reads of the platform by a VM
	// that is not a watcher.
	idleRead = 20 * time.Second
	// retryRead is the least time between two tries while nothing is in force
	// or the platform cannot be read.
	retryRead = time.Second
	// refusedRead is the least time before a manifest that was refused is read
	// again.
	refusedRead = 2 * time.Second
	// compareEvery is the time between two comparisons with a random VM.
	compareEvery = time.Second
	// peerTimeout bounds one call to a peer.
	peerTimeout = 3 * time.Second
)

// watchLoop reads the manifest: by a waiting watch when this VM is a watcher,
// else now and then.
func (s *Sync) watchLoop(ctx context.Context) {
	revision := uint64(0)
	for ctx.Err() == nil {
		value, err := s.readManifest(ctx, revision)
		if err != nil {
			s.cfg.Log.WithError(err).Debug("manifest_unreadable")
			wait.Sleep(ctx, s.jitter(retryRead))
			continue
		}
		revision = value.Revision
		if err := s.takeValue(ctx, value); err != nil {
			// Its chunks may only be late: read it again, watched or not.
			s.cfg.OnRejected(err)
			revision = 0
			wait.Sleep(ctx, s.jitter(refusedRead))
			continue
		}
		if in, _ := s.Versions(); !s.roster.IsWatcher() && in > 0 {
			wait.Sleep(ctx, s.jitter(idleRead))
		}
	}
}

func (s *Sync) readManifest(ctx context.Context, revision uint64) (platform.Value, error) {
	if s.roster.IsWatcher() && revision > 0 {
		return s.cfg.Platform.Watch(ctx, bundle.ManifestKey, revision, s.cfg.Watch)
	}
	return s.cfg.Platform.Get(ctx, bundle.ManifestKey)
}

func (s *Sync) takeValue(ctx context.Context, value platform.Value) error {
	signed := &schema.SignedManifest{}
	if err := proto.Unmarshal(value.Data, signed); err != nil {
		return errors.Wrap(err, "decode signed manifest")
	}
	return s.adopt(ctx, signed, s.chunkFromPlatform)
}

func (s *Sync) chunkFromPlatform(ctx context.Context, hash []byte) ([]byte, error) {
	v, err := s.cfg.Platform.Get(ctx, bundle.ChunkKey(hash))
	return v.Data, err
}
