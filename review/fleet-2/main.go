// Command fleet-2 plays the scripts of the cases in review/: it starts edge processes with the command of the deploy
// file, and stand-ins of the platform's store, of servers and of clients, which follow the users' pages. All addresses
// are loopback addresses.
//
// Each script returns whether a rule was broken. The exit code is 1 if one was, 0 if all held, and 2 if the script could
// not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxDuration ends a script that hangs.
const maxDuration = 118 * time.Second

// script plays a case with or without the disruption.
type script func(f *fleet, trouble bool) (broken bool, err error)

var scripts = map[string]script{}

func main() {
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: fleet-2 SCRIPT RECORD")
		os.Exit(2)
	}
	os.Exit(run(scripts[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(play script, path string, trouble bool) int {
	record, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.close()
	f, err := newFleet(record)
	if err != nil {
		record.say("cannot run: %v", err)
		return 2
	}
	defer f.end()
	go func() {
		interrupted := make(chan os.Signal, 1)
		signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
		<-interrupted
		f.end()
		os.Exit(2)
	}()
	time.AfterFunc(maxDuration, func() {
		record.say("cannot run: not finished after %v", maxDuration)
		f.end()
		record.close()
		os.Exit(2)
	})
	broken, err := play(f, trouble)
	switch {
	case err != nil:
		record.say("cannot run: %v", err)
		return 2
	case broken:
		record.say("the rule was broken")
		return 1
	}
	record.say("the rule held")
	return 0
}

// fleet is what a script plays on.
type fleet struct {
	record *recorder
	store  *store
	dir    string
	vms    []*vm
}

func newFleet(record *recorder) (*fleet, error) {
	dir, err := os.MkdirTemp("", "fleet-2-")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &fleet{record: record, store: s, dir: dir}, nil
}

// startVMs starts the VMs and waits until all are ready and know a leader.
func (f *fleet) startVMs() error {
	var err error
	if f.vms, err = newVMs(f.dir, f.store.address, zones); err != nil {
		return err
	}
	for _, v := range f.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	if err := awaitReady(f.vms, 10*time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	f.record.line("%d VMs are ready", len(f.vms))
	return nil
}

// end ends all processes and removes their files, unless KEEP is set.
func (f *fleet) end() {
	for _, v := range f.vms {
		if v.cmd != nil && v.cmd.Process != nil {
			v.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
		return
	}
	fmt.Println("logs are in", f.dir)
}
