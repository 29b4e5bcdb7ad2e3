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

// setFaults injects the same faults into every engine.
func (c *Cluster) setFaults(f standin.EngineFaults) {
	for _, e := range c.Engines {
		e.SetFaults(f)
	}
}

// TestEngineFaultTable checks the response that a caller receives for each fault of an
// engine.
func TestEngineFaultTable(t *testing.T) {
	const model = "weather-brief@v1"
	for _, row := range []struct {
		name   string
		faults standin.EngineFaults
		stream bool
		// status is the HTTP status of the response. Zero means that the connection
		// is aborted.
		status int
		code   string
		notRun string
	}{
		{name: "no fault", status: http.StatusOK},
		{name: "a load fails twice", faults: standin.EngineFaults{FailLoads: 2}, status: http.StatusOK},
		{name: "a stream is cut and resumed", faults: standin.EngineFaults{TruncateStreams: 1, TruncateAfterEvents: 2}, stream: true, status: http.StatusOK},
		{name: "a stream is cut before its first event", faults: standin.EngineFaults{TruncateStreams: 1, NoResume: true}, stream: true, status: http.StatusBadGateway, code: "answer_cut", notRun: "unknown"},
		{name: "a stream is cut and cannot be resumed", faults: standin.EngineFaults{TruncateStreams: 1, TruncateAfterEvents: 2, NoResume: true}, stream: true},
		{name: "response of another adapter", faults: standin.EngineFaults{WrongAdapter: true}, status: http.StatusBadGateway, code: "wrong_adapter_answered", notRun: "unknown"},
		{name: "stream of another adapter", faults: standin.EngineFaults{WrongAdapter: true}, stream: true, status: http.StatusBadGateway, code: "wrong_adapter_answered", notRun: "unknown"},
	} {
		t.Run(row.name, func(t *testing.T) {
			c, _ := startTestCluster(t, Options{TokenTime: time.Millisecond})
			c.setFaults(row.faults)
			r, err := Post(t.Context(), c.VMs[0].FrontendURL()+chatPath, ChatBody(model, "clear or snow", row.stream), nil)
			if row.status == 0 {
				assert.ErrorContains(t, err, "EOF")
				c.assertGuarantees(t)
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
				assert.Equal(t, text, expectedText(model, "clear or snow"))
			}
			c.assertGuarantees(t)
		})
	}
}

// TestLeavingEngine checks that an engine that reports to be leaving receives no new
// requests once its owner has read the report.
func TestLeavingEngine(t *testing.T) {
	c, _ := startTestCluster(t, Options{})
	const leaving = "glostrup-llm-1"
	c.Engines[leaving].SetFaults(standin.EngineFaults{Leaving: true})
	start := time.Now()
	eventually(t, "the owner to stop sending requests", func() bool {
		before := len(c.Engines[leaving].Runs())
		for i, m := range c.models() {
			assert.NilError(t, c.chat(t.Context(), i, m, "is it gone", false))
		}
		return len(c.Engines[leaving].Runs()) == before
	})
	t.Logf("no new requests after %s", time.Since(start))
}

// TestServiceRunsOnce drops the response to a call after the service has run it. A
// call that is not idempotent ends with an unknown outcome and is not sent again, with
// or without an idempotency key. A second call with the same key does not run either.
func TestServiceRunsOnce(t *testing.T) {
	c, _ := startTestCluster(t, Options{})
	service := c.Services["glostrup-app-1"]
	for _, row := range []struct {
		name string
		key  string
	}{
		{"without a key", ""},
		{"with a key", "drop-1"},
	} {
		t.Run(row.name, func(t *testing.T) {
			// A first call leaves a connection open that the next call reuses.
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

// TestRetryKeepsUnknownOutcome guards against a retry hiding that an earlier attempt may
// have run. One instance runs an idempotent call and drops the response; the other is
// unreachable. The outcome must be unknown, whichever instance is tried first.
func TestRetryKeepsUnknownOutcome(t *testing.T) {
	c, _ := startTestCluster(t, Options{})
	c.Bundle().Targets = append(c.Bundle().Targets, &schema.Target{
		Name: "glostrup-app-2", Kind: schema.TargetKind_TARGET_KIND_SERVICE, Service: "tickets",
		Hall: "glostrup-hal", Address: freeAddress(t),
	})
	assert.NilError(t, c.Publish())
	assert.NilError(t, c.WaitReady(readyTimeout))
	eventually(t, "the first VM to route to the second instance", func() bool {
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

// TestIdempotencyKeyReusedForAnotherRequest checks that a call is refused if its
// idempotency key was used for a different call.
func TestIdempotencyKeyReusedForAnotherRequest(t *testing.T) {
	c, _ := startTestCluster(t, Options{})
	header := http.Header{"Idempotency-Key": {"twice"}}
	for i, want := range []int{http.StatusOK, http.StatusUnprocessableEntity} {
		r, err := Post(t.Context(), c.VMs[i].FrontendURL()+"/services/tickets/x", []byte{byte('a' + i)}, header)
		assert.NilError(t, err)
		assert.Equal(t, r.status, want, "%s", r.body)
	}
}
