package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/hop"
)

// destination is where an attempt goes.
type destination struct {
	target, address string
	adapterVersion  int64
	priority        int
	// after is the last event that the caller has; empty: as the caller said.
	after string
}

// noPriority leaves the priority out.
const noPriority = -1

// send sends the request to one target. The context bounds the whole attempt.
func (x *exchange) send(ctx context.Context, d destination) (*hop.Answer, error) {
	x.line.Attempts++
	x.line.Target = d.target
	h := x.header.Clone()
	left := x.left()
	began := x.g.cfg.Now()
	x.g.cfg.Codec.Encode(h, fleet.CallMetadata{
		Target: d.target, Remaining: left, Priority: d.priority, AdapterVersion: d.adapterVersion, LastEventID: d.after, Team: x.teamName(),
	})
	return x.g.cfg.Pool.Do(ctx, &hop.Request{
		Key: d.target, Address: d.address, MaxConns: x.connectionShare(),
		Method: x.r.Method, Path: x.target, Host: x.r.Host, Header: h, Body: x.body,
		AckTimeout: x.g.cfg.DrainBounds.InFlight,
		BeforeSend: func() error { return x.beforeSending(d.target, x.g.cfg.Now().Sub(began)) },
		Matches: func(status int, h http.Header) bool {
			said, class := x.g.cfg.Codec.Notice(status, h), x.g.cfg.Codec.Classify(x.req.ID, status, h)
			x.g.cfg.OnNotice(d.target, said, x.verdictOf(class))
			return class != fleet.Mismatched
		},
	})
}

// verdictOf returns the verdict on which the request was sent that got an answer of this class; nil: the
// answer is to another request, or perhaps of another process.
func (x *exchange) verdictOf(class fleet.AnswerClass) *Decision {
	if class == fleet.Mismatched || class == fleet.Misrouted {
		return nil
	}
	return &x.verdict
}

// connectionReserve of a target's connections is left for orders and for VMs
// that are not known yet.
const connectionReserve = 0.1

// connectionShare is how many connections this VM may hold to one target.
func (x *exchange) connectionShare() int {
	most := float64(x.service.MaxConnections) * (1 - connectionReserve)
	if most <= 0 {
		return 0
	}
	return max(int(most)/max(x.g.cfg.VMs(), 1), 2)
}

// wholeLimit is the largest answer that is read whole before it goes on, in
// bytes: until then the request can still be repeated.
const wholeLimit = 256 << 10

// errEncoded marks answers in an encoding that nobody asked for: not what the
// target's service made.
var errEncoded = errors.New("the answer is encoded")

// readWhole reads the body of a short answer of known or open length. whole is
// false when the answer is too long for it.
func readWhole(a *hop.Answer) (body []byte, whole bool, err error) {
	if a.Header.Get("Content-Encoding") != "" {
		return nil, false, errEncoded
	}
	if a.Length > wholeLimit {
		return nil, false, nil
	}
	body, err = io.ReadAll(io.LimitReader(a, wholeLimit+1))
	if err != nil {
		return nil, false, errors.Wrap(err, "read answer")
	}
	return body, len(body) <= wholeLimit, nil
}

// copyHeader passes an answer's headers on, but those of its connection.
func (x *exchange) copyHeader(a *hop.Answer) {
	out := x.w.Header()
	for name, values := range x.g.cfg.Codec.ForwardResponse(a.Header) {
		out[name] = values
	}
	if _, set := out["Content-Type"]; !set {
		out["Content-Type"] = nil // or net/http would guess one
	}
}

// writeWhole returns a whole answer.
func (x *exchange) writeWhole(a *hop.Answer, body []byte) {
	x.copyHeader(a)
	if bodyAllowed(a.Status) {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.w.WriteHeader(a.Status)
	_, err := x.w.Write(body)
	if err != nil && bodyAllowed(a.Status) {
		x.end("abandoned", a.Status, "caller_left", err)
		return
	}
	x.end("ok", a.Status, "", nil)
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// copyBuffers are for relaying bodies.
var copyBuffers = sync.Pool{New: func() any { return new([copySize]byte) }}

// copySize is enough for some events at once, in bytes.
const copySize = 4 << 10

// errCallerLeft marks the failure of a write to the caller.
var errCallerLeft = errors.New("the caller left")

// relay passes the body on as it comes, after prefix, which was read before. It
// returns errCallerLeft when the caller's side failed, or the target's failure.
func (x *exchange) relay(a *hop.Answer, prefix []byte) error {
	x.copyHeader(a)
	if a.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	x.w.WriteHeader(a.Status)
	return x.copyBody(a, prefix, func(b []byte) ([]byte, error) { return b, nil })
}

// relayEvents is relay for a stream that may be resumed: it passes on whole events. What
// is left at the end of a whole answer is passed on as well.
func (x *exchange) relayEvents(a *hop.Answer, prefix []byte) error {
	if x.stream.head == nil {
		x.copyHeader(a)
		x.w.WriteHeader(a.Status)
		x.stream.head = a.Header
	}
	if err := x.copyBody(a, prefix, x.stream.take); err != nil {
		return err
	}
	return x.write(x.stream.rest)
}

// copyBody passes on what part makes of the bytes that come, prefix first.
func (x *exchange) copyBody(a *hop.Answer, prefix []byte, part func([]byte) ([]byte, error)) error {
	buffer := copyBuffers.Get().(*[copySize]byte)
	defer copyBuffers.Put(buffer)
	for n, end := copy(buffer[:], prefix), error(nil); ; n, end = a.Read(buffer[:]) {
		b, err := part(buffer[:n])
		if err != nil {
			return err
		}
		if err := x.write(b); err != nil {
			return err
		}
		if end == io.EOF {
			return nil
		}
		if end != nil {
			return errors.Wrap(end, "read answer")
		}
	}
}

// write sends bytes to the caller at once.
func (x *exchange) write(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if _, err := x.w.Write(b); err != nil {
		return errors.Mark(err, errCallerLeft)
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return errors.Mark(err, errCallerLeft)
	}
	return nil
}

// abort ends the caller's connection so that the answer does not look whole.
func abort() { panic(http.ErrAbortHandler) }

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}
