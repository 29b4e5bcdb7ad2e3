package dispatch_test

import (
	"fmt"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/dispatch"
)

func ExampleDispatcher() {
	now := time.Unix(0, 0)
	cfg := dispatch.DefaultConfig()
	cfg.Residency.Slots, cfg.Batch = 1, 4
	d := dispatch.New(cfg)
	notes := coord.Adapter{Name: "plough-notes", Version: "v1"}
	show := func(acts []dispatch.Action) {
		for _, a := range acts {
			switch a.Kind {
			case dispatch.ActRequestPermit:
				fmt.Println("request a load permit")
			case dispatch.ActLoad:
				fmt.Println("load", a.Name)
			case dispatch.ActStart:
				fmt.Println("start request", a.Handle)
			}
		}
	}
	show(d.Submit(now, dispatch.Request{Handle: 1, Adapter: notes, Deadline: now.Add(time.Minute)}))
	show(d.PermitGranted(now))
	show(d.Loaded(now, notes))
	// Output:
	// request a load permit
	// load plough-notes@v1
	// start request 1
}
