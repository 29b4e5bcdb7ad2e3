package confsync

import (
	"context"

	"github.com/junctionfold/junctionfold/internal/wait"
	"github.com/junctionfold/junctionfold/schema"
)

// takeList puts a list in force if it is newer.
func (s *Sync) takeList(ctx context.Context, l *schema.VMList) {
	s.mu.Lock()
	newer := l.GetVersion() > s.list.GetVersion()
	if newer {
		s.list = l
	}
	s.mu.Unlock()
	if newer {
		s.cfg.OnList(l)
		s.tell(ctx)
	}
}

func (s *Sync) readList(ctx context.Context) {
	l, err := s.cfg.Platform.List(ctx)
	if err != nil {
		s.cfg.Log.WithError(err).Debug("vm_list_unreadable")
		return
	}
	s.takeList(ctx, l)
}

// listLoop reads the VM list: often as a watcher, else now and then.
func (s *Sync) listLoop(ctx context.Context) {
	for {
		pause := s.cfg.ListPoll
		if _, version := s.Versions(); version > 0 && !s.roster.IsWatcher() {
			pause = s.jitter(idleRead)
		}
		if !wait.Sleep(ctx, pause) {
			return
		}
		s.readList(ctx)
	}
}

// compareLoop compares versions with a random VM.
func (s *Sync) compareLoop(ctx context.Context) {
	for wait.Sleep(ctx, compareEvery) {
		others := s.roster.Others()
		if len(others) == 0 {
			continue
		}
		s.shuffle(others)
		s.compare(ctx, others[0])
	}
}
