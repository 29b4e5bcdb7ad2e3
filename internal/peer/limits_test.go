package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/schema"
)

// TestAnnouncedFrameTakesMemory guards against memory for frames that are announced and never sent.
func TestAnnouncedFrameTakesMemory(t *testing.T) {
	wire := append(binary.AppendUvarint(nil, MaxFrameBytes), 'x')
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 10 {
		_, err := newFrameReader(bytes.NewReader(wire)).read()
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
	runtime.ReadMemStats(&after)
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < 4<<20)
}

// TestLongFramesAreRead guards against frames that are cut where the memory for them grows.
func TestLongFramesAreRead(t *testing.T) {
	for _, size := range []int{0, 100, readBufferBytes, payloadStepBytes - 20, payloadStepBytes, 5*payloadStepBytes + 1} {
		var wire bytes.Buffer
		sent := &schema.Frame{Kind: &schema.Frame_Data{Data: &schema.AnswerData{Body: bytes.Repeat([]byte("x"), size)}}}
		assert.NilError(t, writeFrame(&wire, sent))
		assert.NilError(t, writeFrame(&wire, sent))
		frames := newFrameReader(&wire)
		for range 2 {
			got, err := frames.read()
			assert.NilError(t, err)
			assert.Equal(t, len(got.GetData().Body), size)
		}
		_, err := frames.read()
		assert.ErrorIs(t, err, io.EOF)
	}
}

// TestUnidentifiedClientIsBuffered guards against clients that send much before they have told which VM they are.
func TestUnidentifiedClientIsBuffered(t *testing.T) {
	near, far := net.Pipe()
	go func() { _, _ = far.Write(make([]byte, 2*maxHandshakeBytes)) }() // ends with the pipe
	c := newHandshakeConn(near)
	_, err := io.ReadFull(c, make([]byte, maxHandshakeBytes))
	assert.NilError(t, err)
	read := make(chan error)
	go func() {
		_, err := io.ReadFull(c, make([]byte, maxHandshakeBytes))
		read <- err
	}()
	select {
	case <-read:
		t.Fatal("more was read")
	default:
	}
	c.allowAll()
	assert.NilError(t, <-read)
	assert.NilError(t, near.Close())
}

// TestHandshakesTakeDescriptors guards against connections that take all descriptors and never introduce a VM.
func TestHandshakesTakeDescriptors(t *testing.T) {
	var h handshakes
	var first net.Conn
	for range maxHandshakes {
		conn, far := net.Pipe()
		if first == nil {
			first = far
		}
		h.add(conn)
	}
	conn, _ := net.Pipe()
	end := h.add(conn)
	_, err := first.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	end()
	assert.Equal(t, h.conns.Len(), maxHandshakes-1)
}
