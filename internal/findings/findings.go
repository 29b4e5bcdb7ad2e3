// Package findings collects the problems of a file or other input with their
// positions, so that all of them are reported at once.
package findings

import (
	"fmt"
	"sort"
	"strings"
)

// Position is the location of a finding. Empty parts are omitted when it is
// printed.
type Position struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
}

// WithKey returns p with the given key. If line is positive, it replaces the line.
func (p Position) WithKey(key string, line int) Position {
	p.Key = key
	if line > 0 {
		p.Line = line
	}
	return p
}

// String formats the position as file:line: [section] key.
func (p Position) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Section != "" {
		fmt.Fprintf(&b, ": [%s]", p.Section)
	}
	switch {
	case p.Key != "" && p.Section != "":
		b.WriteString(" " + p.Key)
	case p.Key != "":
		b.WriteString(": " + p.Key)
	}
	return b.String()
}

// Finding is one problem of an input.
type Finding struct {
	Position Position `json:"place"`
	Text     string   `json:"text"`
}

// String returns the position and the text on one line.
func (f Finding) String() string { return f.Position.String() + ": " + f.Text }

// List collects findings.
type List struct {
	items []Finding
}

// Add appends a finding with a formatted text.
func (l *List) Add(p Position, format string, args ...any) {
	l.items = append(l.items, Finding{Position: p, Text: fmt.Sprintf(format, args...)})
}

// Items returns the findings, sorted by file and line.
func (l *List) Items() []Finding {
	sort.SliceStable(l.items, func(i, j int) bool {
		a, b := l.items[i].Position, l.items[j].Position
		if a.File != b.File {
			return a.File < b.File
		}
		return a.Line < b.Line
	})
	return l.items
}

// Err returns an *Error with all findings, or nil if there are none.
func (l *List) Err() error {
	if len(l.items) == 0 {
		return nil
	}
	return &Error{Findings: l.Items()}
}

// Error is an error that consists of findings.
type Error struct {
	Findings []Finding
}

// Error returns the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
