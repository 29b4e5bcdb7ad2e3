package capacity

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/dispatch"
	"github.com/junctionfold/junctionfold/coord/loadturn"
	"github.com/junctionfold/junctionfold/coord/membership"
	"github.com/junctionfold/junctionfold/coord/outcome"
	"github.com/junctionfold/junctionfold/coord/ownership"
	"github.com/junctionfold/junctionfold/coord/placement"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
	"github.com/junctionfold/junctionfold/internal/bundle"
	"github.com/junctionfold/junctionfold/internal/catalog"
	"github.com/junctionfold/junctionfold/schema"
)

// Sizes measured, and the planned ones last.
var (
	adapterSizes = []int{3_000, 15_000, 60_000}
	targetSizes  = []int{12, 150, 1_500}
	vmSizes      = []int{7, 40, 330}
)

const plannedHalls = 18

func TestFit(t *testing.T) {
	l := Fit([]Point{{1, 3}, {2, 5}, {4, 9}})
	assert.Equal(t, l.Base, 1.0)
	assert.Equal(t, l.Slope, 2.0)
	assert.Equal(t, l.Residual, 0.0)
	assert.Assert(t, Fit([]Point{{0, 0}, {1, 1}, {2, 0}}).Residual > 0.3)
}

// heapOf returns the heap bytes that what build returns keeps alive.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// nanos returns the time of one call, over enough calls to last a while.
func nanos(f func(i int)) float64 {
	const enough = 50 * time.Millisecond
	for n := 1; ; n *= 4 {
		began := time.Now()
		for i := range n {
			f(i)
		}
		if took := time.Since(began); took > enough {
			return float64(took.Nanoseconds()) / float64(n)
		}
	}
}

func hall(i int) string { return "hall-" + strconv.Itoa(i%plannedHalls) }

// makeBundle returns a bundle of some size, with eight base models.
func makeBundle(adapters, targets int) *schema.Bundle {
	b := &schema.Bundle{Weights: &schema.Weights{}, Limits: &schema.Limits{QueuePerTarget: 128}}
	for i := range plannedHalls {
		b.Halls = append(b.Halls, &schema.Hall{Name: hall(i), Region: "region-" + strconv.Itoa(i%8)})
	}
	for i := range 8 {
		b.Bases = append(b.Bases, &schema.BaseModel{Name: fmt.Sprintf("base-%d", i)})
	}
	for i := range adapters {
		b.Adapters = append(b.Adapters, &schema.Adapter{
			Name: fmt.Sprintf("adapter-of-caller-%05d", i), Base: fmt.Sprintf("base-%d", i%8),
			Versions: []string{"v1", "v2"}, Priority: "office",
		})
	}
	for i := range targets {
		b.Targets = append(b.Targets, &schema.Target{
			Name: fmt.Sprintf("target-%04d", i), Kind: schema.TargetKind_TARGET_KIND_ENGINE,
			Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250), Hall: hall(i), Base: fmt.Sprintf("base-%d", i%8),
			Slots: 8, Batch: 64, Fencing: schema.Fencing_FENCING_REFUSES,
		})
	}
	return b
}

func makeVMs(n int) []membership.Listed {
	out := make([]membership.Listed, n)
	for i := range out {
		out[i] = membership.Listed{ID: coord.VMID(fmt.Sprintf("entry-%03d", i)), Hall: hall(i), Address: fmt.Sprintf("10.1.%d.%d:9400", i/250, i%250)}
	}
	return out
}

func points(sizes []int, measure func(n int) float64) []Point {
	out := make([]Point, len(sizes))
	for i, n := range sizes {
		out[i] = Point{X: float64(n), Y: measure(n)}
	}
	return out
}

func tracker(n int) *membership.Tracker {
	t := membership.New(membership.Config{Self: "entry-000", SuspectAfter: 1500 * time.Millisecond, Monitors: 3})
	t.ApplyList(time.Unix(1, 0), 1, makeVMs(n))
	return t
}

// BenchmarkSlopes prints the tables of the pure parts.
func BenchmarkSlopes(b *testing.B) {
	for range b.N {
		for _, rows := range [][]Row{configurationRows(b), membershipRows(), routingRows(b), recordRows()} {
			fmt.Println(Table(rows))
		}
	}
	b.ReportMetric(0, "ns/op")
}

func configurationRows(b *testing.B) []Row {
	const planned = 60_000
	return []Row{
		{"catalog", "bytes", "adapters", planned, points(adapterSizes, func(n int) float64 {
			bundle := makeBundle(n, 1500)
			data, err := proto.Marshal(bundle)
			assert.NilError(b, err)
			return heapOf(func() any {
				own := &schema.Bundle{}
				assert.NilError(b, proto.Unmarshal(data, own))
				return catalog.New(1, own)
			})
		})},
		{"chunks kept for others", "bytes", "adapters", planned, points(adapterSizes, func(n int) float64 {
			_, chunks, err := bundle.Split(makeBundle(n, 1500))
			assert.NilError(b, err)
			sum := 0
			for _, c := range chunks {
				sum += len(c)
			}
			return float64(sum)
		})},
		{"one adapter changed, fetched", "bytes", "adapters", planned, points(adapterSizes, func(n int) float64 { return changeBytes(b, n) })},
		{"bundle joined and compiled", "ns", "adapters", planned, points(adapterSizes, func(n int) float64 {
			m, chunks, err := bundle.Split(makeBundle(n, 1500))
			assert.NilError(b, err)
			return nanos(func(int) {
				joined, err := bundle.Join(m, chunks.Get)
				assert.NilError(b, err)
				catalog.New(1, joined)
			})
		})},
	}
}

// changeBytes is what a VM fetches when one adapter of n gets a version: the
// signed manifest, and the chunks that it lacks.
func changeBytes(b *testing.B, n int) float64 {
	before := makeBundle(n, 1500)
	_, old, err := bundle.Split(before)
	assert.NilError(b, err)
	before.Adapters[n/2].Versions = append(before.Adapters[n/2].Versions, "v3")
	m, chunks, err := bundle.Split(before)
	assert.NilError(b, err)
	m.Version = 2
	signed, err := bundle.Seal(m)
	assert.NilError(b, err)
	sum := proto.Size(signed) + 2*(64+16) // two signatures with their key ids
	for hash, data := range chunks {
		if old[hash] == nil {
			sum += len(data)
		}
	}
	return float64(sum)
}

func membershipRows() []Row {
	const planned = 330
	targets := catalog.New(1, makeBundle(0, 1500)).Targets()
	return []Row{
		{"membership table", "bytes", "VMs", planned, points(vmSizes, func(n int) float64 {
			return heapOf(func() any { return tracker(n) })
		})},
		{"heartbeat taken", "ns", "VMs", planned, points(vmSizes, func(n int) float64 {
			t := tracker(n)
			return nanos(func(i int) { t.Heard(time.Unix(2, int64(i)), "entry-003", 1, false) })
		})},
		{"tick", "ns", "VMs", planned, points(vmSizes, func(n int) float64 {
			t := tracker(n)
			return nanos(func(i int) { t.Tick(time.Unix(2, int64(i))) })
		})},
		{"view change: list applied, owners of 1,500 targets chosen", "ns", "VMs", planned, points(vmSizes, func(n int) float64 {
			vms := makeVMs(n)
			t := tracker(n)
			return nanos(func(i int) {
				t.ApplyList(time.Unix(2, 0), uint64(i+2), vms)
				c := ownership.NewChooser(t.Members())
				for _, target := range targets {
					c.Owner(target.Hash, target.Hall)
				}
			})
		})},
	}
}

func routingRows(b *testing.B) []Row {
	const planned = 1500
	return []Row{
		{"target picked, all of one base model", "ns", "targets", planned, points(targetSizes, func(n int) float64 {
			pool, board, sched := onePool(n), placement.NewBoard(placement.DefaultBoardConfig()), placement.Default()
			q := placement.Query{Halls: ^uint64(0), Spread: 1, Now: time.Unix(1, 0)}
			pick := func(i int) {
				q.Key = rendezvous.Mix(uint64(i), 7)
				sched.Pick(pool, board, &q)
			}
			assert.Equal(b, testing.AllocsPerRun(100, func() { pick(1) }), 0.0)
			return nanos(pick)
		})},
		{"request queued, started and ended at an owner", "ns", "waiting adapters", 64, points([]int{1, 16, 64}, func(n int) float64 {
			d := busyDispatcher(n)
			now := time.Unix(2, 0)
			handle := uint64(1000)
			return nanos(func(int) {
				handle++
				d.Submit(now, dispatch.Request{Handle: handle, Adapter: coord.Adapter{Name: "base"}, Deadline: now.Add(time.Hour)})
				d.Finished(now, handle)
			})
		})},
		{"owner's state of a target with 128 requests", "bytes", "targets", 5, points([]int{1, 5, 25}, func(n int) float64 {
			return heapOf(func() any {
				var all []*dispatch.Dispatcher
				for range n {
					all = append(all, busyDispatcher(128))
				}
				return all
			})
		})},
		{"load turn asked and given back", "ns", "asks that wait", 330, points([]int{7, 40, 330}, func(n int) float64 {
			g := loadturn.New(loadturn.Config{PerSecond: 1e9, Concurrent: 1, Hold: time.Hour})
			for i := range n {
				g.Ask(time.Unix(1, 0), loadturn.Ask{ID: uint64(i + 1), Value: float64(i)})
			}
			return nanos(func(i int) {
				id := uint64(i + 1_000_000)
				g.Ask(time.Unix(2, int64(i)), loadturn.Ask{ID: id})
				g.Cancel(time.Unix(2, int64(i)), id)
			})
		})},
	}
}

func onePool(n int) *placement.Pool {
	var targets []placement.Target
	for i := range n {
		targets = append(targets, placement.Target{ID: coord.TargetID(fmt.Sprintf("target-%04d", i)), Base: "base", Hall: hall(i), Batch: 64})
	}
	return placement.NewMap(targets).Pool("base")
}

// busyDispatcher has a request waiting for each of n adapters.
func busyDispatcher(n int) *dispatch.Dispatcher {
	cfg := dispatch.DefaultConfig()
	cfg.Residency.Slots, cfg.Batch, cfg.QueueLimit, cfg.MaxLoadWait = 8, 64, 1<<20, time.Hour
	d := dispatch.New(cfg)
	now := time.Unix(1, 0)
	for i := range n {
		a := coord.Adapter{Name: fmt.Sprintf("adapter-of-caller-%05d", i), Version: "v1"}
		d.Submit(now, dispatch.Request{Handle: uint64(i + 1), Adapter: a, Deadline: now.Add(time.Hour)})
	}
	return d
}

func recordRows() []Row {
	const planned = 330
	fingerprint := make([]byte, 32)
	fill := func(n int) *outcome.Table {
		t := outcome.NewTable(outcome.Config{Retention: time.Hour, MaxBytes: 1 << 30})
		for i := range n {
			key := fmt.Sprintf("0123456789abcdef\x00order-%08d", i)
			t.Begin(time.Unix(1, 0), key, "entry-001/1764680000000000000/"+strconv.Itoa(i), fingerprint)
			t.Finish(time.Unix(1, 0), key, "entry-001/1764680000000000000/"+strconv.Itoa(i), outcome.Done, make([]byte, 512))
		}
		return t
	}
	return []Row{
		{"outcome records with answers of 512 bytes", "bytes", "records", 16_000, points([]int{1_000, 4_000, 16_000}, func(n int) float64 {
			return heapOf(func() any { return fill(n) })
		})},
		{"record begun and ended", "ns", "records", 16_000, points([]int{1_000, 4_000, 16_000}, func(n int) float64 {
			t := fill(n)
			return nanos(func(i int) {
				key := strconv.Itoa(i)
				t.Begin(time.Unix(1, 0), key, "run", fingerprint)
				t.Finish(time.Unix(1, 0), key, "run", outcome.Done, nil)
			})
		})},
		{"holders of a key chosen", "ns", "VMs", planned, points(vmSizes, func(n int) float64 {
			set := outcome.NewHolderSet(tracker(n).Members())
			return nanos(func(i int) { set.Holders("key") })
		})},
	}
}
