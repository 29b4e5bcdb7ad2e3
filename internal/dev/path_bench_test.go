package dev

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/schema"
)

// startBenchCluster starts a cluster whose engines are far below their limits, so that
// benchmarks measure the path through the VMs.
func startBenchCluster(b *testing.B, tokenTime time.Duration) *Cluster {
	b.Helper()
	c, err := Start(Options{LoadTime: time.Millisecond, TokenTime: tokenTime, Level: "error", ModifyBundle: func(bundle *schema.Bundle) {
		bundle.Limits.LoadsPerSecond = 1000
		for _, t := range bundle.Targets {
			t.Batch, t.Slots = 1000, 64
		}
	}})
	assert.NilError(b, err)
	b.Cleanup(c.Close)
	for i, m := range c.models() {
		assert.NilError(b, c.chat(context.Background(), i, m, "warm up", false))
	}
	return c
}

// benchClient keeps enough idle connections for the concurrency of the benchmarks.
var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}}

// engineHolding returns the URL of an engine on which the model is resident, and the
// model's name on that engine.
func (c *Cluster) engineHolding(model string) (url, name string) {
	for _, t := range c.Bundle().Targets {
		e := c.Engines[t.Name]
		if e == nil {
			continue
		}
		for _, n := range e.Resident() {
			if n == model || strings.HasPrefix(n, model+"~") {
				return "http://" + t.Address, n
			}
		}
	}
	return "", ""
}

// sendChat sends a chat request, reads the complete response and returns the number of
// events in it.
func sendChat(url, model, text string, stream bool) (int, error) {
	resp, err := benchClient.Post(url+chatPath, "application/json", bytes.NewReader(ChatBody(model, text, stream)))
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		return 0, fmt.Errorf("status %d: %s", resp.StatusCode, data)
	}
	events := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if bytes.HasPrefix(lines.Bytes(), []byte("data: ")) {
			events++
		}
	}
	return events, lines.Err()
}

// runConcurrently calls send n times, with up to workers calls at a time. It returns the
// durations of the calls in ascending order and the total number of events.
func runConcurrently(b *testing.B, n, workers int, send func(i int) (int, error)) (durations []time.Duration, events int) {
	b.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var lastErr error
	next := make(chan int)
	for range workers {
		wg.Go(func() {
			for i := range next {
				start := time.Now()
				got, err := send(i)
				elapsed := time.Since(start)
				mu.Lock()
				durations = append(durations, elapsed)
				events += got
				if err != nil {
					lastErr = err
				}
				mu.Unlock()
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	wg.Wait()
	assert.NilError(b, lastErr)
	slices.Sort(durations)
	return durations, events
}

// quantile returns the quantile q, between 0 and 1, of sorted durations.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}

// cpuTime returns the user and system CPU time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// concurrency is the number of concurrent requests in the benchmarks.
const concurrency = 100

// BenchmarkAddedLatency measures the latency that the path through the VMs adds to a
// direct call of the engine, with up to one hop between VMs. Direct and routed calls
// are measured in the same run.
func BenchmarkAddedLatency(b *testing.B) {
	for _, row := range []struct {
		name   string
		stream bool
		token  time.Duration
	}{{"whole", false, 20 * time.Millisecond}, {"streamed", true, 20 * time.Millisecond}} {
		b.Run(row.name, func(b *testing.B) {
			c := startBenchCluster(b, row.token)
			const model = "plough-notes@v1"
			engine, name := c.engineHolding(model)
			n := max(b.N, 20*concurrency)
			for _, url := range []string{engine, c.VMs[0].FrontendURL(), c.VMs[1].FrontendURL(), c.VMs[2].FrontendURL()} {
				m := model
				if url == engine {
					m = name
				}
				runConcurrently(b, concurrency, concurrency, func(int) (int, error) { return sendChat(url, m, "open connections", row.stream) })
			}
			direct, _ := runConcurrently(b, n, concurrency, func(int) (int, error) { return sendChat(engine, name, "a b c d e f", row.stream) })
			path, _ := runConcurrently(b, n, concurrency, func(i int) (int, error) {
				return sendChat(c.VMs[i%len(c.VMs)].FrontendURL(), model, "a b c d e f", row.stream)
			})
			for _, q := range []float64{0.5, 0.99} {
				d, p := quantile(direct, q), quantile(path, q)
				b.ReportMetric(float64((p-d).Microseconds())/1000, fmt.Sprintf("added_p%g_ms", q*100))
				b.ReportMetric(float64(d.Microseconds())/1000, fmt.Sprintf("direct_p%g_ms", q*100))
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkTokens measures the CPU time per streamed token at a fixed token rate. The
// CPU time of direct calls, which is that of caller and engine, is subtracted.
func BenchmarkTokens(b *testing.B) {
	c := startBenchCluster(b, 6*time.Millisecond)
	const model = "plough-notes@v1"
	engine, name := c.engineHolding(model)
	text := strings.Repeat("word ", 200)
	measure := func(send func(i int) (int, error)) (cpuPerToken time.Duration, perSecond float64) {
		before, start := cpuTime(), time.Now()
		_, events := runConcurrently(b, 3*concurrency, concurrency, send)
		return (cpuTime() - before) / time.Duration(events), float64(events) / time.Since(start).Seconds()
	}
	direct, _ := measure(func(int) (int, error) { return sendChat(engine, name, text, true) })
	path, rate := measure(func(i int) (int, error) { return sendChat(c.VMs[i%len(c.VMs)].FrontendURL(), model, text, true) })
	b.ReportMetric(float64((path-direct).Nanoseconds())/1000, "cpu_us/token")
	b.ReportMetric(rate, "tokens/s")
	b.ReportMetric((path-direct).Seconds()*16000*100, "pct_core_at_16000_tokens/s")
	b.ReportMetric(0, "ns/op")
}
