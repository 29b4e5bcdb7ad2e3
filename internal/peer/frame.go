package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/junctionfold/junctionfold/schema"
)

// MaxFrameBytes bounds the size of a frame. The largest frames carry a request body or a
// chunk.
const MaxFrameBytes = 80 << 20

// frameReader reads length-prefixed frames.
type frameReader struct {
	r    *bufio.Reader
	opts protodelim.UnmarshalOptions
}

// readBufferBytes is the size of the read buffer of a stream.
const readBufferBytes = 4 << 10

func newFrameReader(r io.Reader) *frameReader {
	return &frameReader{
		r:    bufio.NewReaderSize(r, readBufferBytes),
		opts: protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes},
	}
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
	f := frameReader{r: buffer, opts: protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}}
	return f.read()
}

// read returns the next frame. It returns an error for a frame without a kind.
func (f *frameReader) read() (*schema.Frame, error) {
	frame := &schema.Frame{}
	if err := f.opts.UnmarshalFrom(f.r, frame); err != nil {
		return nil, err
	}
	if frame.Kind == nil {
		return nil, errors.New("frame of no known kind")
	}
	return frame, nil
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
