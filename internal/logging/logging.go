// Package logging sets up event logs: one line of key=value pairs for each
// event.
package logging

import (
	"bytes"
	"io"
	"sync"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
)

// New returns a logger that writes to w and puts the VM's id on every line.
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

// lineHandler writes each event with one Write. The library's handler writes a
// line in pieces, and the lines of several VMs that share a writer would mix.
type lineHandler struct {
	mu     sync.Mutex
	line   bytes.Buffer
	format *logfmt.Handler
	w      io.Writer
}

// HandleLog writes one event.
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
