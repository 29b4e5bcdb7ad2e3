package edge

import (
	"context"
	"sync"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/schema"
)

// Timing of the detection of an unresponsive leader while requests wait for its decisions. The
// roster's detection takes longer (suspectAfter), since it determines the leader.
const (
	// probeAfter is the time without a response after which the leader is probed: several network
	// round trips and the scheduling delay of a busy VM.
	probeAfter = 150 * time.Millisecond
	// unresponsiveAfter is the time without a response after which requests that this VM can place
	// locally no longer wait: a quarter to a half of the latency objectives of streams.
	unresponsiveAfter = 300 * time.Millisecond
)

// leaderMonitor detects an unresponsive leader. Lock order: no other lock is acquired while
// leaderMonitor.mu is held.
type leaderMonitor struct {
	mu sync.Mutex
	// vm is the leader; empty: there is none, or it is this VM.
	vm           coord.VMID
	lastResponse time.Time
	waiting      int
	// probing is set while a probe of vm, sent at probedAt, is unanswered.
	probing  bool
	probedAt time.Time
	// unresponsive is canceled when vm has not responded for unresponsiveAfter while requests wait,
	// and when another VM is watched.
	unresponsive    context.Context
	setUnresponsive context.CancelFunc
}

func newLeaderMonitor() *leaderMonitor {
	m := &leaderMonitor{}
	m.reset()
	return m
}

// reset replaces unresponsive by a new context. m.mu is held, or m is not shared yet.
func (m *leaderMonitor) reset() {
	m.unresponsive, m.setUnresponsive = context.WithCancel(context.Background())
}

// watch starts to monitor a VM.
func (m *leaderMonitor) watch(now time.Time, vm coord.VMID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setUnresponsive()
	m.reset()
	m.vm, m.lastResponse, m.probing = vm, now, false
}

// recordResponse records any message of a VM.
func (m *leaderMonitor) recordResponse(now time.Time, vm coord.VMID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if vm != m.vm {
		return
	}
	m.lastResponse = now
	if m.unresponsive.Err() != nil {
		m.reset()
	}
}

// addWaiter counts a request that waits for the leader's decision until done is called. The context
// is canceled when the leader becomes unresponsive.
func (m *leaderMonitor) addWaiter(now time.Time) (unresponsive context.Context, done func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.waiting == 0 && m.unresponsive.Err() == nil {
		m.lastResponse = now // responses are expected from now on
	}
	m.waiting++
	return m.unresponsive, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.waiting--
	}
}

// isUnresponsive reports whether the leader has not responded for so long that requests do not wait
// for it.
func (m *leaderMonitor) isUnresponsive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unresponsive.Err() != nil
}

// tick updates unresponsive. It returns the VM to probe, or "".
func (m *leaderMonitor) tick(now time.Time) (probe coord.VMID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.vm == "" || m.waiting == 0 && m.unresponsive.Err() == nil {
		return ""
	}
	elapsed := now.Sub(m.lastResponse)
	if elapsed >= unresponsiveAfter {
		m.setUnresponsive()
	}
	if elapsed < probeAfter || m.probing || now.Sub(m.probedAt) < probeAfter {
		return ""
	}
	m.probing, m.probedAt = true, now
	return m.vm
}

// probeFinished records the result of a probe.
func (m *leaderMonitor) probeFinished(now time.Time, vm coord.VMID, responded bool) {
	if responded {
		m.recordResponse(now, vm)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if vm == m.vm {
		m.probing = false
	}
}

// probeLeader probes the leader if a probe is due.
func (n *Node) probeLeader() {
	vm := n.leaderMonitor.tick(n.now())
	if vm == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		_, err := n.mesh.Call(ctx, vm, &schema.Call{Body: &schema.Call_Heartbeat{
			Heartbeat: &schema.Heartbeat{Vm: n.settings.Vm.Id},
		}})
		if err != nil {
			n.log.PeerCallFailed("probe", string(vm), err)
		}
		n.leaderMonitor.probeFinished(n.now(), vm, err == nil)
	}()
}
