// Package eventstream finds where events end in a stream of server-sent events (HTML Living Standard,
// section 9.2). A line ends with LF, CRLF or CR, and an empty line ends an event. Lines that begin
// with a colon are comments and belong to no event.
package eventstream

import (
	"bytes"
	"net/http"
	"strings"
)

// IsDeclared reports whether the headers of a response declare an event stream.
func IsDeclared(h http.Header) bool {
	mediaType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// Scanner follows a stream from its start. The zero value is at the start.
type Scanner struct {
	// bomBytes is how many bytes of a byte order mark were read; -1: the stream has none, or it is
	// complete.
	bomBytes int
	// inLine reports that the current line has bytes, and inComment that it is a comment.
	inLine, inComment bool
	// inEvent reports that a field was read since the last empty line.
	inEvent bool
	// afterCR reports that the last byte was a CR, so that an LF belongs to the same line end.
	afterCR bool
}

// ByteOrderMark may begin a stream or another text in UTF-8.
var ByteOrderMark = []byte("\xef\xbb\xbf")

// InEvent reports whether the stream would end inside an event or a line if it ended here.
func (s *Scanner) InEvent() bool { return s.inEvent || s.inLine || s.bomBytes > 0 }

// Scan reads the next bytes of the stream and returns the length of those up to the last position
// outside of an event; 0 if there is none.
func (s *Scanner) Scan(b []byte) (end int) {
	for i, c := range b {
		s.scanByte(c)
		if !s.InEvent() {
			end = i + 1
		}
	}
	return end
}

func (s *Scanner) scanByte(c byte) {
	if s.bomBytes >= 0 && s.scanByteOrderMark(c) {
		return
	}
	continuesLineEnd := s.afterCR && c == '\n'
	s.afterCR = c == '\r'
	switch {
	case continuesLineEnd:
	case c == '\n' || c == '\r':
		s.endLine()
	case !s.inLine:
		s.inLine, s.inComment = true, c == ':'
	}
}

// scanByteOrderMark reports whether a byte belongs to a byte order mark.
func (s *Scanner) scanByteOrderMark(c byte) bool {
	if c != ByteOrderMark[s.bomBytes] {
		s.inLine = s.bomBytes > 0
		s.bomBytes = -1
		return false
	}
	s.bomBytes++
	if s.bomBytes == len(ByteOrderMark) {
		s.bomBytes = -1
	}
	return true
}

func (s *Scanner) endLine() {
	isField := s.inLine && !s.inComment
	s.inEvent = isField || s.inEvent && s.inLine
	s.inLine, s.inComment = false, false
}

// LastID returns the last id that complete events set.
func LastID(events []byte) (id string, ok bool) {
	isLineEnd := func(r rune) bool { return r == '\n' || r == '\r' }
	for _, line := range bytes.FieldsFunc(bytes.TrimPrefix(events, ByteOrderMark), isLineEnd) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id, ok = string(bytes.TrimSpace(value)), true
		}
	}
	return id, ok
}
