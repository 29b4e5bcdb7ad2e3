// Package inifile reads INI files into protobuf messages and keeps the line of
// every section and key, so that a finding can name its place.
package inifile

import (
	"bytes"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/junctionfold/junctionfold/internal/findings"
)

// MaxBytes is the largest file that is read.
const MaxBytes = 64 << 20

// Section is one section of a file, such as [adapter "plough-notes"].
type Section struct {
	// Kind is the first word of the header, Label the quoted rest.
	Kind     string
	Label    string
	Position findings.Position
	Keys     []Key
}

// Key is one key of a section.
type Key struct {
	Name  string
	Value string
	Line  int
}

// PositionOf returns the place of a key, or the section's own when it is missing.
func (s *Section) PositionOf(key string) findings.Position {
	for _, k := range s.Keys {
		if k.Name == key {
			return s.Position.WithKey(key, k.Line)
		}
	}
	return s.Position.WithKey(key, 0)
}

// Parse reads a file's sections in order. What cannot be read becomes a
// finding; the rest is returned all the same.
func Parse(file string, data []byte, fs *findings.List) []Section {
	if len(data) > MaxBytes {
		fs.Add(findings.Position{File: file}, "the file has %d bytes; at most %d are read", len(data), MaxBytes)
		return nil
	}
	marks := scan(file, data, fs)
	parsed, err := ini.LoadSources(loadOptions, data)
	if err != nil {
		fs.Add(findings.Position{File: file}, "cannot be read: %v", err)
		return nil
	}
	return join(file, parsed.Sections(), marks, fs)
}

var loadOptions = ini.LoadOptions{
	AllowNonUniqueSections:  true,
	SkipUnrecognizableLines: true,
	IgnoreContinuation:      true,
	KeyValueDelimiters:      "=",
}

// mark is the lines of one section.
type mark struct {
	line int
	keys map[string]int
}

// scan finds the line of each section header and key.
func scan(file string, data []byte, fs *findings.List) []mark {
	marks := []mark{{keys: map[string]int{}}}
	line := 0
	for raw := range bytes.Lines(data) {
		line++
		text := strings.TrimSpace(string(raw))
		switch {
		case text == "" || text[0] == '#' || text[0] == ';':
		case text[0] == '[':
			marks = append(marks, mark{line: line, keys: map[string]int{}})
		default:
			marks[len(marks)-1].addKey(file, line, text, fs)
		}
	}
	return marks
}

func (m *mark) addKey(file string, line int, text string, fs *findings.List) {
	name, _, ok := strings.Cut(text, "=")
	place := findings.Position{File: file, Line: line}
	if !ok {
		fs.Add(place, "neither a [section] nor a key = value")
		return
	}
	name = strings.Trim(strings.TrimSpace(name), "\"`")
	if before := m.keys[name]; before > 0 {
		fs.Add(place.WithKey(name, line), "stands already on line %d", before)
		return
	}
	m.keys[name] = line
}

// join pairs the library's sections with their lines. Both are in file order.
func join(file string, sections []*ini.Section, marks []mark, fs *findings.List) []Section {
	if len(sections) != len(marks) {
		fs.Add(findings.Position{File: file}, "a section header is malformed: %d headers, %d sections", len(marks)-1, len(sections)-1)
		return nil
	}
	out := make([]Section, 0, len(sections))
	for i, s := range sections {
		if i == 0 {
			refuseLoose(file, s, marks[0], fs)
			continue
		}
		out = append(out, section(file, s, marks[i]))
	}
	return out
}

func refuseLoose(file string, s *ini.Section, m mark, fs *findings.List) {
	for _, k := range s.Keys() {
		fs.Add(findings.Position{File: file, Line: m.keys[k.Name()], Key: k.Name()}, "stands before the first section")
	}
}

func section(file string, s *ini.Section, m mark) Section {
	kind, label, _ := strings.Cut(s.Name(), " ")
	out := Section{
		Kind:     kind,
		Label:    strings.Trim(strings.TrimSpace(label), `"`),
		Position: findings.Position{File: file, Line: m.line, Section: s.Name()},
	}
	for _, k := range s.Keys() {
		out.Keys = append(out.Keys, Key{Name: k.Name(), Value: k.Value(), Line: m.keys[k.Name()]})
	}
	return out
}
