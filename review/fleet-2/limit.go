package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scripts["limit"] = playLimit }

// Figures of the script "limit".
const (
	// limitUsual is the number of adapters in steady use, and limitRare that of the adapters of the burst.
	limitUsual, limitRare = 8, 80
	// limitPerSecond is the usual number of requests a second, and limitBurst the factor of the burst.
	limitPerSecond, limitBurst = 20, 2.0
)

// playLimit lets clients ask for rare adapters at once. The servers hold two base models each, which leave room for 16
// adapters beside the 21 places.
func playLimit(f *fleet, trouble bool) (broken bool, err error) {
	modelsMB := map[string]float64{"m0": 33400, "m1": 33400}
	engines, err := f.startEngines(modelsMB)
	if err != nil {
		return false, err
	}
	f.store.put(wire["configKey"], engineConfig(modelsMB))
	if err := f.startVMs(); err != nil {
		return false, err
	}
	var wait sync.WaitGroup
	var served, cut, refused atomic.Int64
	begin := time.Now()
	for time.Since(begin) < 24*time.Second {
		at := time.Since(begin)
		rate, ref := float64(limitPerSecond), fmt.Sprintf("m%d/a%d", rand.IntN(2), 1+rand.IntN(limitUsual/2))
		if trouble && at > 8*time.Second && at < 12500*time.Millisecond {
			rate *= limitBurst
			if rand.IntN(2) == 0 {
				ref = fmt.Sprintf("m%d/a%d", rand.IntN(2), 100+rand.IntN(limitRare/2))
			}
		}
		v := f.vms[rand.IntN(len(f.vms))]
		wait.Go(func() {
			o := once(v.front, streamAttempt(ref))
			f.record.line("client of %s at %s: %s", ref, v.id, o)
			switch {
			case o.status == http.StatusOK && o.complete:
				served.Add(1)
			case o.status == http.StatusOK:
				cut.Add(1)
			default:
				refused.Add(1)
			}
		})
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	wait.Wait()
	overloaded := 0
	for _, s := range engines {
		if s.engine.hasFailed() {
			overloaded++
		}
	}
	f.record.say("%d streams served, %d cut, %d refused or failed; %d of %d servers were ordered to load more than they hold",
		served.Load(), cut.Load(), refused.Load(), overloaded, len(engines))
	if served.Load() == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return overloaded > 0, nil
}
