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

// pathFleet is a fleet whose engines are far from their limits, so that what is
// measured is the path.
func pathFleet(b *testing.B, tokenTime time.Duration) *Cluster {
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

// client keeps enough connections open for the measured concurrency.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}}

// engineOf returns a URL of an engine that holds the model, and its name there.
func (c *Cluster) engineOf(model string) (url, name string) {
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

// ask sends one request and reads the answer; it returns how many events came.
func ask(url, model, text string, stream bool) (int, error) {
	resp, err := client.Post(url+chatPath, "application/json", bytes.NewReader(ChatBody(model, text, stream)))
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

// spread asks n requests, `at` at a time, and returns the times taken in order.
func spread(b *testing.B, n, at int, one func(i int) (int, error)) (times []time.Duration, events int) {
	b.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	next := make(chan int)
	for range at {
		wg.Go(func() {
			for i := range next {
				began := time.Now()
				got, err := one(i)
				took := time.Since(began)
				mu.Lock()
				times = append(times, took)
				events += got
				if err != nil {
					failed = err
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
	assert.NilError(b, failed)
	slices.Sort(times)
	return times, events
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

const concurrency = 100

// BenchmarkAddedLatency measures what the path adds to a call of the engine, over
// one hop between VMs, in one run.
func BenchmarkAddedLatency(b *testing.B) {
	for _, row := range []struct {
		name   string
		stream bool
		token  time.Duration
	}{{"whole", false, 20 * time.Millisecond}, {"streamed", true, 20 * time.Millisecond}} {
		b.Run(row.name, func(b *testing.B) {
			c := pathFleet(b, row.token)
			const model = "plough-notes@v1"
			engine, name := c.engineOf(model)
			n := max(b.N, 20*concurrency)
			for _, url := range []string{engine, c.VMs[0].FrontendURL(), c.VMs[1].FrontendURL(), c.VMs[2].FrontendURL()} {
				m := model
				if url == engine {
					m = name
				}
				spread(b, concurrency, concurrency, func(int) (int, error) { return ask(url, m, "open connections", row.stream) })
			}
			direct, _ := spread(b, n, concurrency, func(int) (int, error) { return ask(engine, name, "a b c d e f", row.stream) })
			path, _ := spread(b, n, concurrency, func(i int) (int, error) {
				return ask(c.VMs[i%len(c.VMs)].FrontendURL(), model, "a b c d e f", row.stream)
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

// BenchmarkTokens measures the processor time that streamed tokens cost beyond
// what caller and engine spend, at a fixed pace of tokens.
func BenchmarkTokens(b *testing.B) {
	c := pathFleet(b, 6*time.Millisecond)
	const model = "plough-notes@v1"
	engine, name := c.engineOf(model)
	text := strings.Repeat("word ", 200)
	measure := func(one func(i int) (int, error)) (cpuPerToken time.Duration, perSecond float64) {
		before, began := cpuTime(), time.Now()
		_, events := spread(b, 3*concurrency, concurrency, one)
		return (cpuTime() - before) / time.Duration(events), float64(events) / time.Since(began).Seconds()
	}
	direct, _ := measure(func(int) (int, error) { return ask(engine, name, text, true) })
	path, rate := measure(func(i int) (int, error) { return ask(c.VMs[i%len(c.VMs)].FrontendURL(), model, text, true) })
	b.ReportMetric(float64((path-direct).Nanoseconds())/1000, "cpu_us/token")
	b.ReportMetric(rate, "tokens/s")
	b.ReportMetric((path-direct).Seconds()*16000*100, "pct_core_at_16000_tokens/s")
	b.ReportMetric(0, "ns/op")
}
