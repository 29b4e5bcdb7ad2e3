package confsync

import (
	"context"

	"github.com/junctionfold/junctionfold/internal/wait"
	"github.com/junctionfold/junctionfold/schema"
)

// applyList applies a VM list if it is newer than the current one, and notifies
// peers.
func (s *Sync) applyList(ctx context.Context, l *schema.VMList) {
	s.mu.Lock()
	newer := l.GetVersion() > s.list.GetVersion()
	if newer {
		s.list = l
	}
	s.mu.Unlock()
	if newer {
		s.cfg.OnList(l)
		s.notifyPeers(ctx)
	}
}

func (s *Sync) readList(ctx context.Context) {
	l, err := s.cfg.Platform.List(ctx)
	if err != nil {
		s.cfg.Log.WithError(err).Debug("vm_list_unreadable")
		return
	}
	s.applyList(ctx, l)
}

// listLoop reads the VM list from the platform: every ListPoll if this VM is a
// watcher or has no list yet, otherwise at random intervals.
func (s *Sync) listLoop(ctx context.Context) {
	for {
		delay := s.cfg.ListPoll
		if _, version := s.Versions(); version > 0 && !s.membership.IsWatcher() {
			delay = s.jitter(minIdleReadInterval)
		}
		if !wait.Sleep(ctx, delay) {
			return
		}
		s.readList(ctx)
	}
}

// compareLoop compares versions with a random VM every compareInterval.
func (s *Sync) compareLoop(ctx context.Context) {
	for wait.Sleep(ctx, compareInterval) {
		others := s.membership.Others()
		if len(others) == 0 {
			continue
		}
		s.shuffle(others)
		s.compare(ctx, others[0])
	}
}
