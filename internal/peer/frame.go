package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/junctionfold/junctionfold/schema"
)

// MaxFrameBytes bounds one frame: a request body at its largest, or a chunk.
const MaxFrameBytes = 80 << 20

// frameReader reads length-prefixed frames.
type frameReader struct {
	r    *bufio.Reader
	opts protodelim.UnmarshalOptions
}

// readBuffer is the size of a stream's read buffer, in bytes.
const readBuffer = 4 << 10

func newFrameReader(r io.Reader) *frameReader {
	return &frameReader{
		r:    bufio.NewReaderSize(r, readBuffer),
		opts: protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes},
	}
}

// read returns the next frame. A frame without a kind is an error.
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

// writeFrame writes one frame with a single Write, so that it costs one header
// of the session below.
func writeFrame(w io.Writer, frame *schema.Frame) error {
	size := proto.Size(frame)
	buf := make([]byte, 0, size+maxPrefix)
	buf = binary.AppendUvarint(buf, uint64(size))
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, frame)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	_, err = w.Write(buf)
	return err
}

// maxPrefix is the longest length prefix, in bytes.
const maxPrefix = binary.MaxVarintLen64

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	in, out *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(int64(n))
	return n, err
}
