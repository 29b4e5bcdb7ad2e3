// Package logging sets up event logs: one line of key=value pairs for each
// event.
package logging

import (
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
	l := &log.Logger{Handler: logfmt.New(&lockedWriter{w: w}), Level: parsed}
	return l.WithField("vm", vm)
}

// Discard returns a logger that writes nothing.
func Discard() log.Interface { return New(io.Discard, "error", "") }

// lockedWriter keeps the lines of concurrent events whole.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

// Write writes one line.
func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}
