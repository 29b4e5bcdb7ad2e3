// Package inifile decodes INI files into protobuf messages and records the line of
// each section and key, so that findings can report positions.
package inifile

import (
	"bytes"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/junctionfold/junctionfold/internal/findings"
)

// MaxBytes is the maximum size of a file.
const MaxBytes = 64 << 20

// Section is one section of a file, such as [adapter "plough-notes"].
type Section struct {
	// Kind is the first word of the header, and Label the quoted text after it.
	Kind     string
	Label    string
	Position findings.Position
	Keys     []Key
}

// Key is one key of a section with its value and line.
type Key struct {
	Name  string
	Value string
	Line  int
}

// PositionOf returns the position of a key. If the key is missing, the position has
// the line of the section.
func (s *Section) PositionOf(key string) findings.Position {
	for _, k := range s.Keys {
		if k.Name == key {
			return s.Position.WithKey(key, k.Line)
		}
	}
	return s.Position.WithKey(key, 0)
}

// Parse returns the sections of a file in order. It adds findings for malformed
// lines, duplicate keys and keys outside of a section, and still returns the other
// sections and keys. It returns nil if the file is larger than MaxBytes, if the
// library cannot load it, or if a section header is malformed.
func Parse(file string, data []byte, fs *findings.List) []Section {
	if len(data) > MaxBytes {
		fs.Add(findings.Position{File: file}, "the file has %d bytes; at most %d are read", len(data), MaxBytes)
		return nil
	}
	lines := scanLines(file, data, fs)
	parsed, err := ini.LoadSources(loadOptions, data)
	if err != nil {
		fs.Add(findings.Position{File: file}, "cannot be read: %v", err)
		return nil
	}
	return joinSections(file, parsed.Sections(), lines, fs)
}

var loadOptions = ini.LoadOptions{
	AllowNonUniqueSections:  true,
	SkipUnrecognizableLines: true,
	IgnoreContinuation:      true,
	KeyValueDelimiters:      "=",
}

// sectionLines holds the line numbers of one section's header and keys.
type sectionLines struct {
	line int
	keys map[string]int
}

// scanLines returns the lines of each section. The first element holds the keys
// before the first section.
func scanLines(file string, data []byte, fs *findings.List) []sectionLines {
	lines := []sectionLines{{keys: map[string]int{}}}
	line := 0
	for raw := range bytes.Lines(data) {
		line++
		text := strings.TrimSpace(string(raw))
		switch {
		case text == "" || text[0] == '#' || text[0] == ';':
		case text[0] == '[':
			lines = append(lines, sectionLines{line: line, keys: map[string]int{}})
		default:
			lines[len(lines)-1].addKey(file, line, text, fs)
		}
	}
	return lines
}

func (l *sectionLines) addKey(file string, line int, text string, fs *findings.List) {
	name, _, ok := strings.Cut(text, "=")
	position := findings.Position{File: file, Line: line}
	if !ok {
		fs.Add(position, "neither a [section] nor a key = value")
		return
	}
	name = strings.Trim(strings.TrimSpace(name), "\"`")
	if firstLine := l.keys[name]; firstLine > 0 {
		fs.Add(position.WithKey(name, line), "stands already on line %d", firstLine)
		return
	}
	l.keys[name] = line
}

// joinSections combines the sections parsed by the library with their lines. Both
// are in file order.
func joinSections(file string, sections []*ini.Section, lines []sectionLines, fs *findings.List) []Section {
	if len(sections) != len(lines) {
		fs.Add(findings.Position{File: file}, "a section header is malformed: %d headers, %d sections", len(lines)-1, len(sections)-1)
		return nil
	}
	out := make([]Section, 0, len(sections))
	for i, s := range sections {
		if i == 0 {
			rejectKeysBeforeSection(file, s, lines[0], fs)
			continue
		}
		out = append(out, newSection(file, s, lines[i]))
	}
	return out
}

func rejectKeysBeforeSection(file string, s *ini.Section, lines sectionLines, fs *findings.List) {
	for _, k := range s.Keys() {
		fs.Add(findings.Position{File: file, Line: lines.keys[k.Name()], Key: k.Name()}, "stands before the first section")
	}
}

func newSection(file string, s *ini.Section, lines sectionLines) Section {
	kind, label, _ := strings.Cut(s.Name(), " ")
	out := Section{
		Kind:     kind,
		Label:    strings.Trim(strings.TrimSpace(label), `"`),
		Position: findings.Position{File: file, Line: lines.line, Section: s.Name()},
	}
	for _, k := range s.Keys() {
		out.Keys = append(out.Keys, Key{Name: k.Name(), Value: k.Value(), Line: lines.keys[k.Name()]})
	}
	return out
}
