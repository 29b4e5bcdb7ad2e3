package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/answer"
	"github.com/junctionfold/junctionfold/internal/eventstream"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/hop"
)

// destination is the target of an attempt, with what is sent to it beside the request.
type destination struct {
	target, address string
	adapterVersion  int64
	priority        int
	// lastEventID is the id of the last event that the caller has received; empty: as in the
	// caller's request.
	lastEventID string
}

// noPriority omits the priority.
const noPriority = -1

// send sends the request to one target. The context bounds the whole attempt.
func (x *exchange) send(ctx context.Context, d destination) (*hop.Response, error) {
	x.sent.Store(true)
	x.logEntry.Attempts++
	x.logEntry.Target = d.target
	h := x.header.Clone()
	start := x.g.cfg.Now()
	encode := func() {
		x.g.cfg.Codec.Encode(h, fleet.CallMetadata{
			Target: d.target, Remaining: x.remaining(), Priority: d.priority, AdapterVersion: d.adapterVersion, LastEventID: d.lastEventID, Team: x.teamName(),
		})
	}
	encode()
	resp, err := x.g.cfg.Pool.Do(ctx, &hop.Request{
		Key: d.target, Address: d.address, MaxConns: x.maxConnections(d.target), KeepConns: x.g.maxConnections(x.service),
		Method: x.r.Method, Path: x.requestTarget, Host: x.r.Host, Header: h, Body: x.body,
		AckTimeout: x.g.cfg.DrainBounds.InFlight,
		BeforeSend: func() error {
			if err := x.checkBeforeSend(d.target, x.g.cfg.Now().Sub(start)); err != nil {
				return err
			}
			encode() // the time left is shorter than before a failed connection attempt
			return nil
		},
		ID: x.req.ID, Deadline: x.deadline, Placement: x.placement(),
		OnRelay: func(vm string) { x.logEntry.Sent.Via = vm },
		Accept:  func(status int, h http.Header) error { return x.acceptAnswer(d.target, status, h) },
	})
	if err == nil {
		x.logEntry.Framing = resp.Framing()
	}
	if errors.IsAny(err, hop.ErrWithdrawn, hop.ErrNoPath) {
		x.logEntry.Attempts-- // nothing reached the target, so the next attempt consumes no retry budget
		x.g.cfg.Metrics.Withdrawn.Add(1)
	}
	return resp, err
}

// placement describes the current decision to a VM that relays the request.
func (x *exchange) placement() hop.Placement {
	return hop.Placement{
		DecidedAt: x.decision.DecidedAt, Paced: x.decision.RateLimit.Stamp != 0, Revision: uint64(x.decision.StoreCopy.Revision),
		SoftwareVersion: x.decision.SoftwareVersion, Adapter: x.req.Adapter, AdapterVersion: x.decision.AdapterVersion,
	}
}

// acceptAnswer checks the head of a response and handles the notice that came with it. The headers of an
// invalid answer tell nothing about the target.
func (x *exchange) acceptAnswer(target string, status int, h http.Header) error {
	head := x.g.cfg.Codec.DecodeAnswer(status, h)
	class := head.Classify(x.req.ID)
	err := head.Accept(x.req.ID)
	if errors.Is(err, answer.ErrInvalid) {
		x.g.cfg.Metrics.InvalidAnswers.Add(class.String(), 1)
		return err
	}
	x.g.cfg.OnNotice(target, x.g.cfg.Codec.Notice(status, h), x.decisionFor(class))
	return err
}

// classify returns the class of an accepted response.
func (x *exchange) classify(resp *hop.Response) answer.Class {
	return x.g.cfg.Codec.DecodeAnswer(resp.Status, resp.Header).Classify(x.req.ID)
}

// decisionFor returns the decision on which the request was sent whose response has this class;
// nil: the response is to another request, or may come from another process.
func (x *exchange) decisionFor(class answer.Class) *Decision {
	if class == answer.Mismatched || class == answer.Misrouted {
		return nil
	}
	return &x.decision
}

// connectionReserve is the share of a target's connections that is left for orders and for VMs that
// are not known yet.
const connectionReserve = 0.1

// maxConnections returns how many connections this VM may open to a target for this request; 0: no limit. Callers
// are not spread evenly over the VMs, so that the share of a VM may be too small. The leader bounds the requests
// at a target by its slots; for those that it granted, connections beyond the share come from the reserve.
func (x *exchange) maxConnections(target string) int {
	share := x.g.maxConnections(x.service)
	t := x.g.cfg.Directory.Directory().Targets[target]
	if share == 0 || !x.decision.ByLeader || t == nil {
		return share
	}
	reserve := int(connectionReserve * float64(x.service.MaxConnections))
	return share + min(t.Slots, reserve)
}

// maxConnections returns how many connections this VM may keep open to one target: its share, but at
// least 2; 0: no limit.
func (g *Gateway) maxConnections(s *fleet.Service) int {
	usable := float64(s.MaxConnections) * (1 - connectionReserve)
	if usable <= 0 {
		return 0
	}
	return max(int(usable)/max(g.cfg.ConnectedVMs(), 1), 2)
}

// maxBufferedBytes is the size of the largest response that is buffered before it is forwarded.
// Until then the request can still be repeated.
const maxBufferedBytes = 256 << 10

// readBuffered reads the whole body of a response whose length is short or unknown. complete is
// false if the response is too long to be buffered.
func readBuffered(resp *hop.Response) (body []byte, complete bool, err error) {
	if resp.Length > maxBufferedBytes {
		return nil, false, nil
	}
	body, err = io.ReadAll(io.LimitReader(resp, maxBufferedBytes+1))
	if err != nil {
		return nil, false, errors.Wrap(err, "read answer")
	}
	complete = len(body) <= maxBufferedBytes
	if complete && isBrokenOff(resp, body) {
		return nil, false, brokenOffError(resp)
	}
	return body, complete, nil
}

// copyHeader copies a response's header to the caller, except for the fields of its connection.
func (x *exchange) copyHeader(resp *hop.Response) {
	out := x.w.Header()
	for name, values := range x.g.cfg.Codec.ForwardResponse(resp.Header) {
		out[name] = values
	}
	if _, set := out["Content-Type"]; !set {
		out["Content-Type"] = nil // prevents net/http from detecting one
	}
}

// writeBuffered writes a buffered response to the caller.
func (x *exchange) writeBuffered(resp *hop.Response, body []byte) {
	if len(body) > 0 && eventstream.IsDeclared(resp.Header) {
		x.beginStream()
	}
	x.setLength(resp, len(body))
	x.beginBody(resp)
	x.w.WriteHeader(resp.Status)
	_, err := x.w.Write(body)
	if err == nil && resp.CloseDelimited {
		err = x.flush() // the head must be sent before net/http can add a length
	}
	x.delimiter.End()
	if err != nil && bodyAllowed(resp.Status) {
		x.recordOutcome("abandoned", resp.Status, "caller_left", err)
		return
	}
	x.recordOutcome("ok", resp.Status, "", nil)
}

// setLength sets the length of a buffered response: for HEAD the one that the target names.
func (x *exchange) setLength(resp *hop.Response, length int) {
	if x.r.Method == http.MethodHead {
		length = int(resp.Length)
	}
	if length >= 0 && bodyAllowed(resp.Status) && !resp.CloseDelimited {
		x.w.Header().Set("Content-Length", strconv.Itoa(length))
	}
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// copyBuffers are used to relay bodies.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// copyBufferSize is in bytes and has room for several events.
const copyBufferSize = 4 << 10

// errCallerLeft marks a failed write to the caller.
var errCallerLeft = errors.New("the caller left")

// relay forwards the body as it arrives, after prefix, which was read before. It returns
// errCallerLeft if the write to the caller failed, or the target's failure.
func (x *exchange) relay(resp *hop.Response, prefix []byte) error {
	// A stream gets no length: that it ends inside an event shows only after all its bytes were sent.
	if resp.Length >= 0 && !eventstream.IsDeclared(resp.Header) {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	x.beginBody(resp)
	x.w.WriteHeader(resp.Status)
	if err := x.copyBody(resp, prefix, x.stream.scan); err != nil {
		return err
	}
	x.delimiter.End()
	return nil
}

// relayEvents relays a stream that may be resumed. It forwards complete events only.
func (x *exchange) relayEvents(resp *hop.Response, prefix []byte) error {
	x.stream.startPart()
	if x.stream.header == nil {
		x.beginBody(resp)
		x.w.WriteHeader(resp.Status)
		x.stream.header = resp.Header
	}
	if err := x.copyBody(resp, prefix, x.stream.completeEvents); err != nil {
		return err
	}
	x.delimiter.End()
	return nil
}

// copyBody writes what transform returns for each chunk of the body, prefix first. It returns an error
// if the body was broken off.
func (x *exchange) copyBody(resp *hop.Response, prefix []byte, transform func([]byte) ([]byte, error)) error {
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	for b, readErr := prefix, error(nil); ; {
		out, err := transform(b)
		if err != nil {
			return err
		}
		if err := x.write(out); err != nil {
			return err
		}
		if readErr == io.EOF {
			return x.checkEnd(resp)
		}
		if readErr != nil {
			return errors.Wrap(readErr, "read answer")
		}
		var n int
		n, readErr = resp.Read(buffer[:])
		b = buffer[:n]
	}
}

// write sends bytes to the caller and flushes them.
func (x *exchange) write(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	x.beginStream()
	x.recordPause()
	if _, err := x.w.Write(b); err != nil {
		return errors.Mark(err, errCallerLeft)
	}
	return x.flush()
}

// recordPause records the time since the last write of the response.
func (x *exchange) recordPause() {
	now := x.g.cfg.Now()
	if !x.wroteAt.IsZero() {
		x.logEntry.LongestPause = max(x.logEntry.LongestPause, now.Sub(x.wroteAt))
	}
	x.wroteAt = now
}

func (x *exchange) flush() error {
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return errors.Mark(err, errCallerLeft)
	}
	return nil
}
