package dev

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/tidwall/gjson"
	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/standin"
	"github.com/junctionfold/junctionfold/schema"
)

// setFaults sets the same switches on every engine.
func (c *Cluster) setFaults(f standin.EngineFaults) {
	for _, e := range c.Engines {
		e.SetFaults(f)
	}
}

// TestEngineFaultTable shows what a caller gets for each fault of an engine.
func TestEngineFaultTable(t *testing.T) {
	const model = "weather-brief@v1"
	for _, row := range []struct {
		name   string
		faults standin.EngineFaults
		stream bool
		// status is the answer's; zero means that the connection is aborted.
		status int
		code   string
		notRun string
	}{
		{name: "no fault", status: http.StatusOK},
		{name: "a load fails twice", faults: standin.EngineFaults{FailLoads: 2}, status: http.StatusOK},
		{name: "a stream is cut and resumed", faults: standin.EngineFaults{TruncateStreams: 1, TruncateAfterEvents: 2}, stream: true, status: http.StatusOK},
		{name: "a stream is cut before its first event", faults: standin.EngineFaults{TruncateStreams: 1, NoResume: true}, stream: true, status: http.StatusBadGateway, code: "answer_cut", notRun: "unknown"},
		{name: "a stream is cut and cannot be resumed", faults: standin.EngineFaults{TruncateStreams: 1, TruncateAfterEvents: 2, NoResume: true}, stream: true},
		{name: "whole answer of another adapter", faults: standin.EngineFaults{WrongAdapter: true}, status: http.StatusBadGateway, code: "wrong_adapter_answered", notRun: "unknown"},
		{name: "stream of another adapter", faults: standin.EngineFaults{WrongAdapter: true}, stream: true, status: http.StatusBadGateway, code: "wrong_adapter_answered", notRun: "unknown"},
	} {
		t.Run(row.name, func(t *testing.T) {
			c, _ := startFleet(t, Options{TokenTime: time.Millisecond})
			c.setFaults(row.faults)
			r, err := Post(t.Context(), c.VMs[0].FrontendURL()+chatPath, ChatBody(model, "clear or snow", row.stream), nil)
			if row.status == 0 {
				assert.ErrorContains(t, err, "EOF")
				c.assertPromises(t)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, r.status, row.status, "%s", r.body)
			if row.code != "" {
				got := gjson.GetManyBytes(r.body, "error.code", "error.not_run", "error.request_id")
				assert.Equal(t, got[0].String(), row.code)
				assert.Equal(t, got[1].String(), row.notRun)
				assert.Equal(t, got[2].String(), r.header.Get("X-Request-Id"))
			} else if row.stream {
				text, err := StreamText(r.body)
				assert.NilError(t, err)
				assert.Equal(t, text, expected(model, "clear or snow"))
			}
			c.assertPromises(t)
		})
	}
}

// TestLeavingEngine sends no new work to an engine that says it is leaving, once
// its owner has read its report.
func TestLeavingEngine(t *testing.T) {
	c, _ := startFleet(t, Options{})
	const leaving = "glostrup-llm-1"
	c.Engines[leaving].SetFaults(standin.EngineFaults{Leaving: true})
	began := time.Now()
	eventually(t, "the owner to stop sending", func() bool {
		before := len(c.Engines[leaving].Runs())
		for i, m := range c.models() {
			assert.NilError(t, c.chat(t.Context(), i, m, "is it gone", false))
		}
		return len(c.Engines[leaving].Runs()) == before
	})
	t.Logf("no new work after %s", time.Since(began))
}

// TestServiceRunsOnce drops a call's answer after the service has run it. A call
// that may not be repeated ends as unknown and is not sent again, with or without
// a key; the key's repeat is not run either.
func TestServiceRunsOnce(t *testing.T) {
	c, _ := startFleet(t, Options{})
	service := c.Services["glostrup-app-1"]
	for _, row := range []struct {
		name string
		key  string
	}{
		{"without a key", ""},
		{"with a key", "drop-1"},
	} {
		t.Run(row.name, func(t *testing.T) {
			// A first call leaves a connection open for the next to reuse.
			_, err := Post(t.Context(), c.VMs[0].FrontendURL()+"/services/tickets/x", []byte("warm"), nil)
			assert.NilError(t, err)
			service.DropAfterRun(1)
			header := http.Header{}
			if row.key != "" {
				header.Set("Idempotency-Key", row.key)
			}
			r, err := Post(t.Context(), c.VMs[0].FrontendURL()+"/services/tickets/x", []byte(row.name), header)
			assert.NilError(t, err)
			assert.Equal(t, gjson.GetBytes(r.body, "error.not_run").String(), "unknown", "%s", r.body)
			if row.key != "" {
				r, err = Post(t.Context(), c.VMs[1].FrontendURL()+"/services/tickets/x", []byte(row.name), header)
				assert.NilError(t, err)
				assert.Equal(t, gjson.GetBytes(r.body, "error.code").String(), "outcome_unknown", "%s", r.body)
			}
			assert.Equal(t, service.Runs(row.name), 1)
		})
	}
}

// TestRetryKeepsTheDoubt repeats calls that may be repeated after one that ran and
// lost its answer. The second instance cannot be reached; the first may still have
// run, whichever was tried first.
func TestRetryKeepsTheDoubt(t *testing.T) {
	c, _ := startFleet(t, Options{})
	c.Bundle().Targets = append(c.Bundle().Targets, &schema.Target{
		Name: "glostrup-app-2", Kind: schema.TargetKind_TARGET_KIND_SERVICE, Service: "tickets",
		Hall: "glostrup-hal", Address: freeAddress(t),
	})
	assert.NilError(t, c.Publish())
	assert.NilError(t, c.WaitReady(readyTimeout))
	eventually(t, "the second instance to be routed to", func() bool {
		return c.VMs[0].Node.Ready() && c.VMs[0].Node.Status().BundleVersion == c.Version()
	})
	for range 2 {
		c.Services["glostrup-app-1"].DropAfterRun(1)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, c.VMs[0].FrontendURL()+"/services/tickets/x", http.NoBody)
		assert.NilError(t, err)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		var body bytes.Buffer
		_, err = body.ReadFrom(resp.Body)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		assert.Equal(t, gjson.GetBytes(body.Bytes(), "error.not_run").String(), "unknown", "%s", body.String())
	}
}

// TestKeyForTwoRequests refuses a key that was used for another request.
func TestKeyForTwoRequests(t *testing.T) {
	c, _ := startFleet(t, Options{})
	header := http.Header{"Idempotency-Key": {"twice"}}
	for i, want := range []int{http.StatusOK, http.StatusUnprocessableEntity} {
		r, err := Post(t.Context(), c.VMs[i].FrontendURL()+"/services/tickets/x", []byte{byte('a' + i)}, header)
		assert.NilError(t, err)
		assert.Equal(t, r.status, want, "%s", r.body)
	}
}
