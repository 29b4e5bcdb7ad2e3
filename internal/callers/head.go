package callers

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// A parsed head takes about twice its bytes, and lineCost bytes for each line.
const (
	bytesFactor = 2
	lineCost    = 256
)

// costOfHead returns the memory in bytes that the head of a request takes.
func costOfHead(r *http.Request) int64 {
	size, lines := len(r.RequestURI)+len(r.Host), 1
	for name, values := range r.Header {
		lines += len(values)
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return int64(bytesFactor*size + lineCost*lines)
}

// position is where in a request a headScanner is.
type position int

const (
	inHead position = iota
	inLengthBody
	inChunkSize
	inChunkData
	inTrailer
)

// maxKeptLine is how much of a line is kept to recognize the headers that delimit a body.
const maxKeptLine = 64

// headScanner follows the framing of requests (RFC 9112) in the bytes that a client sends, to tell what the unfinished
// head at their end takes. It changes nothing and its result is used for accounting only, so that a request whose
// framing net/http understands otherwise, or rejects, does no harm.
type headScanner struct {
	at position
	// bytes and lines are those of the current head or trailer, and line is the beginning of the current line.
	bytes, lines int64
	line         []byte
	// left is what is left of the body or chunk.
	left int64
	// length and chunked are the framing that the current head has announced.
	length  int64
	chunked bool
}

// cost returns the memory that the current head takes; 0 in a body.
func (s *headScanner) cost() int64 {
	if s.at != inHead && s.at != inTrailer {
		return 0
	}
	return bytesFactor*s.bytes + lineCost*s.lines
}

// isPartial reports whether a head has begun and not ended.
func (s *headScanner) isPartial() bool { return s.at == inHead && s.bytes > 0 }

// scan goes on with the next bytes.
func (s *headScanner) scan(p []byte) {
	for len(p) > 0 {
		if s.at == inLengthBody || s.at == inChunkData {
			n := min(int64(len(p)), s.left)
			s.left -= n
			p = p[n:]
			s.endData()
			continue
		}
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			s.addToLine(p)
			return
		}
		s.addToLine(p[:end+1])
		p = p[end+1:]
		s.endLine()
	}
}

func (s *headScanner) addToLine(p []byte) {
	s.bytes += int64(len(p))
	s.line = append(s.line, p[:min(len(p), maxKeptLine-len(s.line))]...)
}

// endData ends the body or the chunk if nothing is left of it.
func (s *headScanner) endData() {
	switch {
	case s.left > 0:
	case s.at == inLengthBody:
		s.begin(inHead)
	default:
		s.begin(inChunkSize)
	}
}

// begin begins a part of a request.
func (s *headScanner) begin(at position) {
	s.at, s.bytes, s.lines, s.line = at, 0, 0, s.line[:0]
	if at == inHead {
		s.length, s.chunked = 0, false
	}
}

// endLine handles a whole line.
func (s *headScanner) endLine() {
	line := strings.TrimSuffix(strings.TrimSuffix(string(s.line), "\n"), "\r")
	s.line = s.line[:0]
	s.lines++
	switch {
	case s.at == inChunkSize:
		s.beginChunk(line)
	case line != "" && s.at == inHead:
		s.readField(line)
	case line != "":
	case s.at == inTrailer:
		s.begin(inHead)
	case s.lines > 1: // an empty line before a request does not end a head
		s.endHead()
	}
}

// readField reads a header that delimits the body.
func (s *headScanner) readField(line string) {
	name, value, _ := strings.Cut(line, ":")
	value = strings.TrimSpace(value)
	switch {
	case strings.EqualFold(name, "Content-Length"):
		s.length, _ = strconv.ParseInt(value, 10, 64) // net/http rejects an invalid length
	case strings.EqualFold(name, "Transfer-Encoding"):
		s.chunked = strings.EqualFold(value, "chunked")
	}
}

func (s *headScanner) endHead() {
	switch {
	case s.chunked:
		s.begin(inChunkSize)
	case s.length > 0:
		s.left = s.length
		s.begin(inLengthBody)
	default:
		s.begin(inHead)
	}
}

// beginChunk reads the line with the size of a chunk.
func (s *headScanner) beginChunk(line string) {
	const lineEnd = 2
	size, _, _ := strings.Cut(line, ";")
	n, _ := strconv.ParseInt(strings.TrimSpace(size), 16, 64) // net/http rejects an invalid size
	if n <= 0 {
		s.begin(inTrailer)
		return
	}
	s.left = n + lineEnd
	s.begin(inChunkData)
}
