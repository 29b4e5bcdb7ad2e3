package target

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/internal/forward"
)

// relayStream relays events up to the end marker. It resumes the stream if the connection to the
// engine breaks.
func (r *runner) relayStream(ctx context.Context, resp *http.Response) forward.Result {
	err := r.copyEvents(resp)
	for try := 0; try < maxResumes && r.canResume(ctx, err); try++ {
		err = r.resume(ctx)
	}
	switch {
	case err == nil:
		r.recordStreamEnd()
		return forward.Result{}
	case errors.Is(err, errWrongAdapter):
		return r.wrongAdapterResult(err.Error())
	case errors.Is(err, errSinkClosed):
		r.Attempt.ConnectionLost()
		return CallerDisconnected(err)
	}
	return r.failureResult(ctx, err)
}

// recordStreamEnd records the end of a stream whose end marker was relayed. If its body did not end,
// the engine may still work on the request.
func (r *runner) recordStreamEnd() {
	if r.bodyEnded {
		r.Attempt.Finished()
		return
	}
	r.Attempt.ConnectionLost()
}

func (r *runner) canResume(ctx context.Context, err error) bool {
	return err != nil && ctx.Err() == nil && !errors.IsAny(err, errWrongAdapter, errSinkClosed)
}

// resume requests the events after the last relayed one. It only reads an existing stream; the
// request does not run again.
func (r *runner) resume(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.engine.baseURL+StreamPath+r.Forward.RequestId, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "make resume request")
	}
	req.Header.Set(LastEventIDHeader, strconv.Itoa(r.eventsRelayed))
	resp, err := checkStatus(r.engine.runClient.Do(req))
	if err != nil {
		return errors.Wrap(err, "resume stream")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("resume stream: status %d", resp.StatusCode)
	}
	return r.copyEvents(resp)
}

// Prefixes of lines in an event stream.
var (
	dataPrefix = []byte("data: ")
	idPrefix   = []byte("id: ")
	donePrefix = []byte("data: [DONE]")
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 4 << 20

// streamEndTimeout bounds the wait for the end of a stream's body after its end marker, which the
// caller has by then. It is as long as an engine may take to end a request whose connection is closed.
const streamEndTimeout = coord.AbortedRequestTime

// copyEvents relays events. It returns nil only after the end marker.
func (r *runner) copyEvents(resp *http.Response) error {
	lines := bufio.NewReader(resp.Body)
	var event []byte
	for !r.streamEnded {
		line, err := readLine(lines)
		if err != nil {
			return errors.Wrap(err, "read event")
		}
		if event, err = r.processLine(resp, event, line); err != nil {
			return err
		}
		if len(event) > maxEventBytes {
			return errors.Newf("event of more than %d bytes", maxEventBytes)
		}
	}
	r.awaitBodyEnd(lines)
	return nil
}

// awaitBodyEnd reads what follows the end marker. An engine uses the adapter until the body ends, and
// a connection can be used again only then.
func (r *runner) awaitBodyEnd(body io.Reader) {
	timer := time.AfterFunc(streamEndTimeout, r.cancel)
	defer timer.Stop()
	_, err := io.Copy(io.Discard, body)
	r.bodyEnded = err == nil
}

// readLine returns the next line with its line ending. A line that fits the reader's buffer is not
// copied.
func readLine(lines *bufio.Reader) ([]byte, error) {
	line, err := lines.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	long := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) && len(long) <= maxEventBytes {
		line, err = lines.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, err
}

// processLine appends a line to the event, or relays the event if the line ends it. The engine's
// event IDs are checked and not relayed.
func (r *runner) processLine(resp *http.Response, event, line []byte) ([]byte, error) {
	if bytes.HasPrefix(line, idPrefix) {
		return event, r.checkID(line)
	}
	event = append(event, line...)
	if len(bytes.TrimRight(line, "\r\n")) > 0 {
		return event, nil
	}
	if len(bytes.TrimSpace(event)) == 0 {
		return event[:0], nil
	}
	return event[:0], r.relayEvent(resp, event)
}

// checkID returns an error for an event that is out of order.
func (r *runner) checkID(line []byte) error {
	id, err := strconv.Atoi(string(bytes.TrimSpace(line[len(idPrefix):])))
	if err != nil || id != r.eventsRelayed+1 {
		return errors.Newf("event %q after event %d", bytes.TrimSpace(line), r.eventsRelayed)
	}
	return nil
}

func (r *runner) relayEvent(resp *http.Response, event []byte) error {
	r.streamEnded = bytes.HasPrefix(event, donePrefix)
	if !r.streamEnded && bytes.HasPrefix(event, dataPrefix) {
		if err := r.checkModel(event); err != nil {
			return err
		}
		event = r.restoreModelName(event)
	}
	r.eventsRelayed++
	if err := r.sendHead(resp); err != nil {
		return errors.Mark(err, errSinkClosed)
	}
	if err := r.sink.Data(event); err != nil {
		return errors.Mark(err, errSinkClosed)
	}
	return nil
}

// checkModel returns an error if an event names another adapter than the requested one.
func (r *runner) checkModel(event []byte) error {
	if got := gjson.GetBytes(event[len(dataPrefix):], "model").String(); got != r.Name {
		return errors.Mark(errors.Newf("%s", got), errWrongAdapter)
	}
	return nil
}

func (r *runner) restoreModelName(event []byte) []byte {
	if r.Name == r.Model {
		return event
	}
	return bytes.Replace(event, strconv.AppendQuote(nil, r.Name), strconv.AppendQuote(nil, r.Model), 1)
}

func (r *runner) sendHead(resp *http.Response) error {
	if r.headSent {
		return nil
	}
	r.headSent = true
	return r.sink.Head(forward.Head{Status: http.StatusOK, Headers: contentType(resp)})
}
