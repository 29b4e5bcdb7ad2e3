// Command review runs the scripts of the review. Each case starts the project's own program as separate
// processes on loopback addresses, beside stand-ins of the platform's store, of servers and of clients.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	timeToEnd    = 115 * time.Second
	startupLimit = 15 * time.Second
)

// caseRun is one run of a case.
type caseRun struct {
	trouble bool
	dir     string
	program string
	store   *store
	log     *runLog
	fleet   *fleet

	mu      sync.Mutex
	record  []string
	answers []answer
	startAt time.Time
}

var cases = map[string]func(*caseRun) (broken []string, err error){}

func main() {
	name := flag.String("case", "", "name of the case")
	out := flag.String("out", ".", "folder of record.txt")
	program := flag.String("program", "target/junctionfold", "the program that the deploy file builds")
	keep := flag.Bool("keep", false, "keep the logs of the machines")
	flag.Parse()
	os.Exit(runCase(*name, *out, *program, *keep))
}

func runCase(name, out, program string, keep bool) int {
	f, known := cases[name]
	program, err := filepath.Abs(program)
	if _, statErr := os.Stat(program); !known || err != nil || statErr != nil {
		fmt.Println("can't run: no such case, or the program isn't built")
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println("can't run:", err)
		return exitNotRun
	}
	if keep {
		fmt.Println("logs in", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	c := &caseRun{trouble: os.Getenv("TROUBLE") != "0", dir: dir, program: program, log: &runLog{}, startAt: time.Now()}
	done := time.AfterFunc(timeToEnd, func() {
		if c.fleet != nil {
			c.fleet.killAll()
		}
		fmt.Println("can't run: the time is over")
		os.Exit(exitNotRun)
	})
	defer done.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		if c.fleet != nil {
			c.fleet.killAll()
		}
		os.Exit(exitNotRun)
	}()
	broken, err := f(c)
	if c.fleet != nil {
		c.fleet.killAll()
	}
	code := exitHeld
	switch {
	case err != nil:
		c.note("can't run: %v", err)
		code = exitNotRun
	case len(broken) > 0:
		code = exitBroken
		for _, b := range broken {
			c.note("BROKEN: %s", b)
		}
	default:
		c.note("the rule held")
	}
	c.writeRecord(filepath.Join(out, "record.txt"))
	fmt.Printf("%s, trouble %v: exit %d, %d broken\n", name, c.trouble, code, len(broken))
	return code
}

// note adds a line to the record.
func (c *caseRun) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record = append(c.record, c.at(time.Now())+" "+fmt.Sprintf(format, args...))
}

// at is a time in the record.
func (c *caseRun) at(t time.Time) string { return fmt.Sprintf("%8.3f", t.Sub(c.startAt).Seconds()) }

func (c *caseRun) writeRecord(file string) {
	f, err := os.Create(file)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer f.Close()
	fmt.Fprintln(f, "# what happened, in seconds from the start")
	for _, line := range c.record {
		fmt.Fprintln(f, line)
	}
	fmt.Fprintln(f, "# what was sent and answered")
	for _, a := range c.answers {
		fmt.Fprintf(f, "%s sent %s to %s (%s): %d complete=%v after %d ms encoding=%q seal=%q %s\n", c.at(a.SentAt), a.ID, a.VM, a.Target, a.Status, a.Complete,
			a.Took.Milliseconds(), a.Header.Get("Content-Encoding"), a.Header.Get(wire("seal")), a.Err)
	}
	fmt.Fprintln(f, "# what ran")
	for _, r := range c.log.all() {
		fmt.Fprintf(f, "%s ran %s at %s %s@%d\n", c.at(r.At), r.ID, r.Server, r.Adapter, r.Version)
	}
	fmt.Fprintln(f, "# orders and notes of the servers")
	for _, n := range c.log.notes {
		fmt.Fprintln(f, n)
	}
}

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()|1<<63) }

// send sends a request and records the answer.
func (c *caseRun) send(v *vm, r request) answer {
	a := send(v, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
	return a
}

// begin starts the store with a configuration, and n machines.
func (c *caseRun) begin(n int, routes, services []map[string]any) error {
	var err error
	if c.store, err = newStore(); err != nil {
		return err
	}
	c.store.put(wire("config"), map[string]any{
		"version": 3, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
	})
	c.fleet, err = newFleet(c.dir, c.program, c.store, n)
	return err
}

// startFleet starts all machines and waits until they are ready.
func (c *caseRun) startFleet() error {
	if err := c.fleet.startAll(); err != nil {
		return err
	}
	err := c.fleet.awaitReady(startupLimit)
	c.note("%d machines are ready", len(c.fleet.vms))
	return err
}

// modelService is the service of model servers, as in the configuration of a small deployment.
func modelService() map[string]any {
	return map[string]any{
		"name": "models", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slot_count": 64, "kv_tokens": 131025, "weights_mb": 45000.0, wire("slots"): adapterSlots, "loads_per_s": 3.3,
			"models": []map[string]any{{"name": model, "weights_mb": 42700.0, "load_s": 0.6, "adapters": 3000, "adapter_mb": 66.0}},
		},
	}
}

func modelRoute(resumable bool, attempts int) map[string]any {
	return map[string]any{
		"name": "chat", "host": host, "prefix": "/chat/", wire("routeKind"): "streaming", "timeout_ms": 10000, wire("objective"): 600,
		"priority": 0, "service": "models", "max_attempts": attempts, wire("affinity"): true, "resumable": resumable, wire("gap"): 250,
	}
}

// plainService is a service without models.
func plainService() map[string]any {
	return map[string]any{"name": "tickets", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false}
}

func plainRoute(kind string, attempts int) map[string]any {
	return map[string]any{
		"name": "tickets", "host": host, "prefix": "/tickets/", wire("routeKind"): kind, "timeout_ms": 1500, wire("objective"): 150,
		"priority": 2, "service": "tickets", "max_attempts": attempts,
	}
}
