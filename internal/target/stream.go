package target

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"

	"github.com/junctionfold/junctionfold/internal/forward"
)

// stream passes events on until the end mark, resuming when the engine's side
// breaks.
func (r *runner) stream(ctx context.Context, resp *http.Response) forward.Result {
	err := r.copyEvents(resp)
	for try := 0; try < resumeTries && r.canResume(ctx, err); try++ {
		err = r.resume(ctx)
	}
	switch {
	case err == nil:
		r.Attempt.Finished()
		return forward.Result{}
	case errors.Is(err, errWrongAdapter):
		return r.wrongAdapter(err.Error())
	case errors.Is(err, errSink):
		r.Attempt.ConnectionLost()
		return CallerDisconnected(err)
	}
	return r.failed(ctx, err)
}

func (r *runner) canResume(ctx context.Context, err error) bool {
	return err != nil && ctx.Err() == nil && !errors.IsAny(err, errWrongAdapter, errSink)
}

// resume asks the engine for the events after the last one passed on. It only
// reads a stream that is there: the request does not run again.
func (r *runner) resume(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.engine.base+StreamPath+r.Forward.RequestId, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "make resume request")
	}
	req.Header.Set(LastEventID, strconv.Itoa(r.events))
	resp, err := r.engine.runs.Do(req)
	if err != nil {
		return errors.Wrap(err, "resume stream")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("resume stream: status %d", resp.StatusCode)
	}
	return r.copyEvents(resp)
}

// Marks in an event stream.
var (
	dataMark = []byte("data: ")
	idMark   = []byte("id: ")
	doneMark = []byte("data: [DONE]")
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 4 << 20

// copyEvents passes events on. It returns nil only after the end mark.
func (r *runner) copyEvents(resp *http.Response) error {
	lines := bufio.NewReader(resp.Body)
	var event []byte
	for !r.ended {
		line, err := readLine(lines)
		if err != nil {
			return errors.Wrap(err, "read event")
		}
		if event, err = r.takeLine(resp, event, line); err != nil {
			return err
		}
		if len(event) > maxEventBytes {
			return errors.Newf("event of more than %d bytes", maxEventBytes)
		}
	}
	return nil
}

// readLine returns the next line with its end. A line that fits the reader's
// buffer is not copied.
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

// takeLine adds a line to the event, or passes the event on at its end. The
// engine's event ids are checked and not passed on.
func (r *runner) takeLine(resp *http.Response, event, line []byte) ([]byte, error) {
	if bytes.HasPrefix(line, idMark) {
		return event, r.checkID(line)
	}
	event = append(event, line...)
	if len(bytes.TrimRight(line, "\r\n")) > 0 {
		return event, nil
	}
	if len(bytes.TrimSpace(event)) == 0 {
		return event[:0], nil
	}
	return event[:0], r.passEvent(resp, event)
}

// checkID refuses an event that is out of order.
func (r *runner) checkID(line []byte) error {
	id, err := strconv.Atoi(string(bytes.TrimSpace(line[len(idMark):])))
	if err != nil || id != r.events+1 {
		return errors.Newf("event %q after event %d", bytes.TrimSpace(line), r.events)
	}
	return nil
}

func (r *runner) passEvent(resp *http.Response, event []byte) error {
	r.ended = bytes.HasPrefix(event, doneMark)
	if !r.ended && bytes.HasPrefix(event, dataMark) {
		if err := r.checkModel(event); err != nil {
			return err
		}
		event = r.callersName(event)
	}
	r.events++
	if err := r.head(resp); err != nil {
		return errors.Mark(err, errSink)
	}
	if err := r.sink.Data(event); err != nil {
		return errors.Mark(err, errSink)
	}
	return nil
}

// checkModel holds an event against the adapter that was asked for.
func (r *runner) checkModel(event []byte) error {
	if got := gjson.GetBytes(event[len(dataMark):], "model").String(); got != r.Name {
		return errors.Mark(errors.Newf("%s", got), errWrongAdapter)
	}
	return nil
}

func (r *runner) callersName(event []byte) []byte {
	if r.Name == r.Model {
		return event
	}
	return bytes.Replace(event, strconv.AppendQuote(nil, r.Name), strconv.AppendQuote(nil, r.Model), 1)
}

func (r *runner) head(resp *http.Response) error {
	if r.headed {
		return nil
	}
	r.headed = true
	return r.sink.Head(http.StatusOK, contentType(resp))
}
