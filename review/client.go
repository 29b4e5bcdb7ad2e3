package main

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const host = "models.example"

// answer is what a client has received.
type answer struct {
	ID       string
	VM       string
	Target   string // method, path and adapter
	SentAt   time.Time
	Took     time.Duration
	Status   int // 0: none
	Header   http.Header
	Body     string
	Complete bool
	Err      string
}

// request is what a client sends.
type request struct {
	id, method, path, adapter, body string
	deadline                        time.Duration
}

// send sends one client attempt on a new connection and reads the whole answer.
func send(v *vm, r request) answer {
	a := answer{ID: r.id, VM: v.id, Target: strings.TrimSpace(r.method + " " + r.path + " " + r.adapter), SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+v.front+r.path, strings.NewReader(r.body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Request-Id", r.id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	if r.adapter != "" {
		req.Header.Set("Model", model+"/"+r.adapter)
		req.Header.Set(wire("tokens"), "120,10")
		req.Header.Set(wire("parts"), "5c1e07a2:100,"+strings.ReplaceAll(r.id, "-", "")[:8]+":20")
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.Took, a.Err = time.Since(a.SentAt), err.Error()
		return a
	}
	defer resp.Body.Close()
	a.Status, a.Header = resp.StatusCode, resp.Header
	body, err := io.ReadAll(resp.Body)
	a.Took, a.Body, a.Complete = time.Since(a.SentAt), string(body), err == nil
	if err != nil {
		a.Err = err.Error()
	}
	return a
}
