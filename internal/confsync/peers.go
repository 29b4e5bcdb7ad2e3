package confsync

import (
	"context"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/schema"
)

// tell sends the new versions to those who should know at once.
func (s *Sync) tell(ctx context.Context) {
	for _, vm := range s.roster.PeersToNotify() {
		go s.compare(ctx, vm)
	}
}

// compare exchanges versions with a VM.
func (s *Sync) compare(ctx context.Context, vm coord.VMID) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := s.cfg.Peers.Call(ctx, vm, &schema.Call{Body: &schema.Call_Heartbeat{Heartbeat: s.cfg.Heartbeat()}})
	if err != nil {
		return
	}
	s.ObserveVersions(vm, reply.BundleVersion, reply.ListVersion)
}

// ObserveVersions takes the versions that another VM named and catches up if behind.
func (s *Sync) ObserveVersions(vm coord.VMID, bundleVersion, listVersion uint64) {
	s.mu.Lock()
	behind := s.gate.Behind(bundleVersion) || listVersion > s.list.GetVersion()
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

// pull fetches from a VM what it has newer.
func (s *Sync) pull(ctx context.Context, vm coord.VMID) {
	s.PullList(ctx, vm)
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := s.cfg.Peers.Call(callCtx, vm, &schema.Call{Body: &schema.Call_Manifest{Manifest: &schema.ManifestRequest{}}})
	if err != nil || reply.GetManifest() == nil {
		return
	}
	if err := s.adopt(ctx, reply.GetManifest(), s.chunkFromVM(vm)); err != nil {
		s.cfg.OnRejected(err)
	}
}

func (s *Sync) chunkFromVM(vm coord.VMID) chunkSource {
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

// PullList fetches a VM's list if it is newer.
func (s *Sync) PullList(ctx context.Context, vm coord.VMID) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := s.cfg.Peers.Call(ctx, vm, listCall())
	if err == nil {
		s.takeList(ctx, reply.GetList())
	}
}

func listCall() *schema.Call {
	return &schema.Call{Body: &schema.Call_List{List: &schema.ListRequest{}}}
}

func (s *Sync) listFromSeed(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := s.cfg.Peers.CallAddress(ctx, address, listCall())
	if err == nil {
		s.takeList(ctx, reply.GetList())
	}
}
