package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	scripts["one"] = playOne
	scripts["recover"] = playRecover
}

// Figures of the scripts "one" and "recover".
const (
	// seedsLost is the number of machines that do not come back. They are those that the seeds name.
	seedsLost = 3
	// seedsPerSecond is the number of requests a second, for a model only.
	seedsPerSecond = 15
	// seedsBefore is the time of traffic before the fault, and seedsDown how long the processes that come back are down.
	seedsBefore = 5 * time.Second
	seedsDown   = 500 * time.Millisecond
)

// Bounds of the rules, as in the settings of the small deployments.
const (
	lease    = 3 * time.Second
	contact  = 3 * time.Second
	recovery = 12 * time.Second
)

// playOne loses all machines at once. Those that the seeds name stay down, and the settings of the others go on naming
// them. The rule is broken if two machines that are in touch give orders to one server in turns within the lease.
func playOne(f *fleet, trouble bool) (broken bool, err error) {
	const after = 74 * time.Second
	s := seedsPlay{fleet: f, adapters: 300, judgedAfter: contact, end: after}
	if err := s.play(trouble, func() error { return nil }); err != nil {
		return false, err
	}
	turns := countTurns(s.engines, s.judgedFrom)
	for _, t := range turns {
		f.record.line("ONE: %s", t)
	}
	f.record.say("orders in turns within %v: %d", lease, len(turns))
	return len(turns) > 0, nil
}

// playRecover is playOne with settings that name the machines that are there from 3 s after the fault, which SIGHUP
// tells. The rule is broken if less than a quarter of the requests is served later than recovery_s.
func playRecover(f *fleet, trouble bool) (broken bool, err error) {
	const settingsAfter, judged = 2500 * time.Millisecond, 20 * time.Second
	s := seedsPlay{fleet: f, adapters: 30, judgedAfter: recovery, end: recovery + judged}
	err = s.play(trouble, func() error {
		time.Sleep(settingsAfter)
		return f.renewSeeds()
	})
	if err != nil {
		return false, err
	}
	if s.before.share() < 0.25 {
		return false, fmt.Errorf("less than a quarter was served before the fault")
	}
	return s.after.share() < 0.25, nil
}

// seedsPlay is a play with a loss of all machines.
type seedsPlay struct {
	fleet    *fleet
	engines  []*server
	adapters int
	// judgedAfter and end are counted from the time at which machines are back.
	judgedAfter, end time.Duration
	judgedFrom       time.Time
	// before, during and after count the requests before the fault, until judgedFrom, and later.
	before, during, after tally

	mu sync.Mutex
	up []*vm
}

// play plays the traffic and the fault. afterStart is called when the machines are back.
func (s *seedsPlay) play(trouble bool, afterStart func() error) error {
	f := s.fleet
	var err error
	if s.engines, err = f.startEngines(map[string]float64{"m0": 65100}); err != nil {
		return err
	}
	f.store.put(wire["configKey"], engineConfig(map[string]float64{"m0": 65100}))
	if err := f.startVMs(); err != nil {
		return err
	}
	s.up = f.vms
	begin := time.Now()
	backAt := begin.Add(seedsBefore + seedsDown)
	s.judgedFrom = backAt.Add(s.judgedAfter)
	fault := make(chan error, 1)
	go func() { fault <- s.injectFault(trouble, begin, afterStart) }()
	var wait sync.WaitGroup
	for time.Now().Before(backAt.Add(s.end)) {
		counted := s.counterAt(time.Now(), begin)
		ref := fmt.Sprintf("m0/a%d", 1+rand.IntN(s.adapters))
		v := s.randomVM()
		wait.Go(func() {
			o := once(v.front, streamAttempt(ref))
			f.record.line("client of %s at %s: %s", ref, v.id, o)
			counted.add(o.status == http.StatusOK && o.complete)
		})
		time.Sleep(time.Second / seedsPerSecond)
	}
	wait.Wait()
	f.record.say("served: %s before the fault, %s until %v after it, %s later", &s.before, &s.during, s.judgedAfter, &s.after)
	return <-fault
}

func (s *seedsPlay) counterAt(now, begin time.Time) *tally {
	switch {
	case now.After(s.judgedFrom):
		return &s.after
	case now.After(begin.Add(seedsBefore)):
		return &s.during
	}
	return &s.before
}

func (s *seedsPlay) randomVM() *vm {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up[rand.IntN(len(s.up))]
}

// injectFault kills all processes at once and starts those of the machines again that the seeds do not name.
func (s *seedsPlay) injectFault(trouble bool, begin time.Time, afterStart func() error) error {
	time.Sleep(time.Until(begin.Add(seedsBefore)))
	if !trouble {
		return nil
	}
	f := s.fleet
	back := f.vms[seedsLost:]
	s.mu.Lock()
	s.up = back
	s.mu.Unlock()
	for _, v := range f.vms {
		v.signal(syscall.SIGKILL)
	}
	for _, v := range f.vms {
		_ = v.cmd.Wait()
	}
	f.record.say("all %d processes were killed; the %d machines that the seeds name stay down", len(f.vms), seedsLost)
	time.Sleep(seedsDown)
	for _, v := range back {
		if err := v.start(); err != nil {
			return err
		}
	}
	f.record.say("%d machines are back", len(back))
	return afterStart()
}

// renewSeeds makes the settings of the machines that are back name these machines, and sends them SIGHUP.
func (f *fleet) renewSeeds() error {
	var old, seeds []string
	for i, v := range f.vms {
		if i < seedsLost {
			old = append(old, v.peer)
		} else {
			seeds = append(seeds, v.peer)
		}
	}
	for _, v := range f.vms[seedsLost:] {
		text, err := os.ReadFile(v.settingsFile)
		if err != nil {
			return err
		}
		changed := strings.Replace(string(text), strings.Join(old, ","), strings.Join(seeds, ","), 1)
		if err := os.WriteFile(v.settingsFile, []byte(changed), 0o600); err != nil {
			return err
		}
		v.signal(syscall.SIGHUP)
	}
	f.record.say("the settings name the machines that are back, which SIGHUP tells them")
	return nil
}

// countTurns returns the orders by which holders took turns at a server: an order of one, of another and of the first
// again, each accepted within the lease of the one before. Orders before judgedFrom are left out.
func countTurns(servers []*server, judgedFrom time.Time) (turns []string) {
	for _, s := range servers {
		var previous, last []acceptedOrder
		for _, o := range s.engine.acceptedOrders() {
			switch {
			case o.at.Before(judgedFrom):
				continue
			case len(last) > 0 && last[0].holder == o.holder:
				last = append(last, o)
				continue
			}
			if len(previous) > 0 && previous[0].holder == o.holder && isWithinLease(previous, last) && isWithinLease(last, []acceptedOrder{o}) {
				turns = append(turns, fmt.Sprintf("server %s took orders of %s, of %s and %v later of %s again",
					s.id, o.holder, last[0].holder, o.at.Sub(previous[len(previous)-1].at).Round(time.Millisecond), o.holder))
			}
			previous, last = last, []acceptedOrder{o}
		}
	}
	return turns
}

// isWithinLease reports whether the first order of b came within the lease of the last order of a.
func isWithinLease(a, b []acceptedOrder) bool { return b[0].at.Sub(a[len(a)-1].at) <= lease }

// tally counts requests and those that were served.
type tally struct {
	mu           sync.Mutex
	sent, served int
}

func (t *tally) add(served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if served {
		t.served++
	}
}

func (t *tally) share() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.served) / float64(max(t.sent, 1))
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d of %d", t.served, t.sent)
}
