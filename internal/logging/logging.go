// Package logging sets up event logs with one line of key=value pairs per event.
package logging

import (
	"bytes"
	"io"
	"sync"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
)

// New returns a logger that writes to w and adds the VM's id to each line. An
// invalid level falls back to info.
func New(w io.Writer, level, vm string) log.Interface {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		parsed = log.InfoLevel
	}
	h := &lineHandler{w: w}
	h.format = logfmt.New(&h.line)
	l := &log.Logger{Handler: h, Level: parsed}
	return l.WithField("vm", vm)
}

// lineHandler writes each event with a single Write. The handler of the library
// writes a line in several parts, which would interleave the lines of VMs that
// share a writer.
type lineHandler struct {
	mu     sync.Mutex
	line   bytes.Buffer
	format *logfmt.Handler
	w      io.Writer
}

// HandleLog formats one event and writes it with a single Write.
func (h *lineHandler) HandleLog(e *log.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.line.Reset()
	if err := h.format.HandleLog(e); err != nil {
		return err
	}
	_, err := h.w.Write(h.line.Bytes())
	return err
}
