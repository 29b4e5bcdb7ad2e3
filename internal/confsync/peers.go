package confsync

import (
	"context"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/schema"
)

// notifyPeers sends the versions in force to the VMs that are notified
// immediately. It does not wait for their replies.
func (s *Sync) notifyPeers(ctx context.Context) {
	for _, vm := range s.membership.PeersToNotify() {
		go s.compare(ctx, vm)
	}
}

// compare exchanges versions with a VM and queues a pull from it if it is ahead.
func (s *Sync) compare(ctx context.Context, vm coord.VMID) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := s.cfg.Peers.Call(ctx, vm, &schema.Call{Body: &schema.Call_Heartbeat{Heartbeat: s.cfg.Heartbeat()}})
	if err != nil {
		return
	}
	s.ObserveVersions(vm, reply.BundleVersion, reply.ListVersion)
}

// ObserveVersions handles the versions that another VM reported. If one is newer
// than the local version, it queues a pull from that VM.
func (s *Sync) ObserveVersions(vm coord.VMID, bundleVersion, listVersion uint64) {
	s.mu.Lock()
	behind := s.tracker.Behind(bundleVersion) || listVersion > s.list.GetVersion()
	s.mu.Unlock()
	if !behind {
		return
	}
	select {
	case s.pulls <- vm:
	default:
	}
}

func (s *Sync) pullLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case vm := <-s.pulls:
			s.pull(ctx, vm)
		}
	}
}

// pull fetches the VM list and the bundle of a VM and applies those that are newer.
func (s *Sync) pull(ctx context.Context, vm coord.VMID) {
	s.PullList(ctx, vm)
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := s.cfg.Peers.Call(callCtx, vm, &schema.Call{Body: &schema.Call_Manifest{Manifest: &schema.ManifestRequest{}}})
	if err != nil || reply.GetManifest() == nil {
		return
	}
	if err := s.applyManifest(ctx, reply.GetManifest(), s.chunkFromVM(vm)); err != nil {
		s.cfg.OnRejected(err)
	}
}

func (s *Sync) chunkFromVM(vm coord.VMID) chunkFetcher {
	return func(ctx context.Context, hash []byte) ([]byte, error) {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		reply, err := s.cfg.Peers.Call(ctx, vm, &schema.Call{Body: &schema.Call_Chunk{Chunk: &schema.ChunkRequest{Hash: hash}}})
		if err != nil {
			return nil, err
		}
		return reply.GetChunk().GetData(), nil
	}
}

// PullList fetches the VM list of a VM and applies it if it is newer.
func (s *Sync) PullList(ctx context.Context, vm coord.VMID) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := s.cfg.Peers.Call(ctx, vm, newListCall())
	if err == nil {
		s.applyList(ctx, reply.GetList())
	}
}

func newListCall() *schema.Call {
	return &schema.Call{Body: &schema.Call_List{List: &schema.ListRequest{}}}
}

func (s *Sync) pullListFromSeed(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := s.cfg.Peers.CallAddress(ctx, address, newListCall())
	if err == nil {
		s.applyList(ctx, reply.GetList())
	}
}
