package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/junctionfold/junctionfold/schema"
)

// MaxFrameBytes bounds the size of a frame. The largest frames carry a request body or a
// chunk.
const MaxFrameBytes = 80 << 20

// frameReader reads length-prefixed frames.
type frameReader struct {
	r *bufio.Reader
	// maxBytes bounds the size of a frame.
	maxBytes uint64
}

// readBufferBytes is the size of the read buffer of a stream.
const readBufferBytes = 4 << 10

func newFrameReader(r io.Reader) *frameReader {
	return &frameReader{r: bufio.NewReaderSize(r, readBufferBytes), maxBytes: MaxFrameBytes}
}

// readBuffers has the buffers of streams that carry a single frame each way, as calls do.
var readBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// readSingle returns the only frame of a stream, or its first one if nothing follows before it is
// handled.
func readSingle(r io.Reader) (*schema.Frame, error) {
	buffer := readBuffers.Get().(*bufio.Reader)
	buffer.Reset(r)
	defer func() {
		buffer.Reset(nil)
		readBuffers.Put(buffer)
	}()
	f := frameReader{r: buffer, maxBytes: MaxFrameBytes}
	return f.read()
}

// read returns the next frame. It returns an error for a frame without a kind.
func (f *frameReader) read() (*schema.Frame, error) {
	size, err := binary.ReadUvarint(f.r)
	if err != nil {
		return nil, err
	}
	if size > f.maxBytes {
		return nil, errors.Newf("frame of %d bytes, at most %d are accepted", size, f.maxBytes)
	}
	data, discard, err := f.readPayload(int(size))
	if err != nil {
		return nil, err
	}
	defer discard()
	frame := &schema.Frame{}
	if err := proto.Unmarshal(data, frame); err != nil {
		return nil, err
	}
	if frame.Kind == nil {
		return nil, errors.New("frame of no known kind")
	}
	return frame, nil
}

// payloadStepBytes is how much memory a frame takes before any of its bytes has arrived. It doubles as they do.
const payloadStepBytes = 64 << 10

// readPayload reads the bytes of a frame, which are valid until discard is called.
func (f *frameReader) readPayload(size int) (data []byte, discard func(), err error) {
	if size <= f.r.Size() {
		data, err = f.r.Peek(size)
		return data, func() { _, _ = f.r.Discard(size) }, unexpectedEOF(err) // the bytes are buffered
	}
	for len(data) < size {
		data = slices.Grow(data, min(max(len(data), payloadStepBytes), size-len(data)))
		n, err := io.ReadFull(f.r, data[len(data):min(cap(data), size)])
		data = data[:len(data)+n]
		if err != nil {
			return nil, nil, unexpectedEOF(err)
		}
	}
	return data, func() {}, nil
}

// unexpectedEOF returns the error of a read that failed inside a frame.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// writeFrame writes one frame with a single Write. The frame then needs only one yamux
// header.
func writeFrame(w io.Writer, frame *schema.Frame) error {
	size := proto.Size(frame)
	buf := make([]byte, 0, size+maxPrefixBytes)
	buf = binary.AppendUvarint(buf, uint64(size))
	buf, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, frame)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	_, err = w.Write(buf)
	return err
}

// maxPrefixBytes is the size of the longest length prefix.
const maxPrefixBytes = binary.MaxVarintLen64
