package eventstream

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func TestPositionsOutsideOfEvents(t *testing.T) {
	for _, row := range []struct {
		stream string
		end    int // of the last position outside of an event
		inside bool
	}{
		{"", 0, false},
		{"data: a\n\n", 9, false},
		{"data: a\n", 0, true},
		{"data: a", 0, true},
		{"data: a\n\nid: 2\ndata: b", 9, true},
		{"data: a\r\n\r\n", 11, false},
		{"data: a\r\n\r\ndata", 11, true},
		{"data: a\r\r", 9, false},
		{"data: a\r", 0, true},
		{"data: a\r\n", 0, true},
		{"data: a\n\r\n", 10, false},
		{": comment\n", 10, false},
		{": comm", 0, true},
		{"data: a\n: comment\n", 0, true},
		{"data: a\n: comment\n\n", 19, false},
		{"\xef\xbb\xbfdata: a\n\n", 12, false},
		{"\xef\xbb\xbf", 3, false},
		{"\xef\xbb", 0, true},
		{"\xefata\n\n", 6, false},
		{"\n\n\n", 3, false},
		{"data: a\n\n\n", 10, false},
		{":\n\ndata: a\n\n:\n", 14, false},
	} {
		t.Run(fmt.Sprintf("%q", row.stream), func(t *testing.T) {
			var s Scanner
			assert.Equal(t, s.Scan([]byte(row.stream)), row.end)
			assert.Equal(t, s.InEvent(), row.inside)
		})
	}
}

// TestChunksDoNotChangeEventEnds checks that the result does not depend on how a stream is split.
func TestChunksDoNotChangeEventEnds(t *testing.T) {
	const stream = "\xef\xbb\xbfid: 1\r\ndata: a\r\n\r\n: c\n\ndata: b\r\rdata: c\n\nda"
	var whole Scanner
	want := whole.Scan([]byte(stream))
	for size := 1; size <= len(stream); size++ {
		var s Scanner
		end := 0
		for from := 0; from < len(stream); from += size {
			if n := s.Scan([]byte(stream[from:min(from+size, len(stream))])); n > 0 {
				end = from + n
			}
		}
		assert.Equal(t, end, want, "%d bytes at a time", size)
		assert.Equal(t, s, whole)
	}
}

func TestIsDeclared(t *testing.T) {
	for contentType, want := range map[string]bool{
		"text/event-stream": true, "Text/Event-Stream; charset=utf-8": true, "text/event-stream;charset": true,
		"text/event-streams": false, "text/plain": false, "": false,
	} {
		assert.Equal(t, IsDeclared(http.Header{"Content-Type": {contentType}}), want, contentType)
	}
}

func TestLastID(t *testing.T) {
	for _, row := range []struct {
		events, id string
		ok         bool
	}{
		{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "2", true},
		{"id:7\r\rid: 8\rdata: a\r\r", "8", true},
		{"\xef\xbb\xbfid: 3\n\n", "3", true},
		{"data: id: 4\n\n", "", false},
	} {
		id, ok := LastID([]byte(row.events))
		assert.Equal(t, id, row.id)
		assert.Equal(t, ok, row.ok)
	}
}
