package bundle

import (
	"os"
	"path/filepath"
	"sort"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/junctionfold/junctionfold/internal/findings"
	"github.com/junctionfold/junctionfold/internal/inifile"
	"github.com/junctionfold/junctionfold/schema"
)

// Source is a bundle read from INI files, with the position of each item.
type Source struct {
	Bundle   *schema.Bundle
	sections map[string]*inifile.Section
}

// positionOf returns the position of a key of an item in the source files. If the
// item has no section, the position has no file and line.
func (s *Source) positionOf(kind, name, key string) findings.Position {
	if sec := s.sections[kind+"/"+name]; sec != nil {
		return sec.PositionOf(key)
	}
	return findings.Position{Section: kind + ` "` + name + `"`, Key: key}
}

// listSections maps the kinds of sections that declare a named item to the bundle's
// repeated fields.
var listSections = map[string]protoreflect.Name{
	"hall":     "halls",
	"base":     "bases",
	"adapter":  "adapters",
	"service":  "services",
	"target":   "targets",
	"priority": "priorities",
}

// singleSections maps the kinds of sections that occur once to the bundle's
// singular fields.
var singleSections = map[string]protoreflect.Name{
	"weights": "weights",
	"limits":  "limits",
}

func knownSections() []string {
	out := []string{}
	for k := range listSections {
		out = append(out, k)
	}
	for k := range singleSections {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// ReadDir reads all *.ini files of a directory in the order of their names, or the
// single file at path, and validates them together. The error is a
// *findings.Error if the files could be read but are invalid.
func ReadDir(path string) (*Source, error) {
	files, err := sourceFiles(path)
	if err != nil {
		return nil, err
	}
	fs := &findings.List{}
	src := &Source{Bundle: defaults(), sections: map[string]*inifile.Section{}}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, errors.Wrap(err, "read bundle source")
		}
		src.read(f, data, fs)
	}
	src.check(fs)
	return src, fs.Err()
}

// Parse parses and validates a single source file from memory. file is the name
// used in findings. Errors are the same as for ReadDir.
func Parse(file string, data []byte) (*Source, error) {
	fs := &findings.List{}
	src := &Source{Bundle: defaults(), sections: map[string]*inifile.Section{}}
	src.read(file, data, fs)
	src.check(fs)
	return src, fs.Err()
}

func sourceFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "find bundle source")
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	files, err := filepath.Glob(filepath.Join(path, "*.ini"))
	if err != nil || len(files) == 0 {
		return nil, errors.Newf("%s holds no *.ini file", path)
	}
	return files, nil
}

// defaults returns a bundle with the weights and limits that apply if no file sets
// them.
func defaults() *schema.Bundle {
	return &schema.Bundle{
		Weights: &schema.Weights{LoadStall: 0.5, BatchEfficiency: 0.5},
		Limits: &schema.Limits{
			QueuePerTarget: 128, LoadsPerSecond: 3, OutcomeRetentionMs: 600_000,
			OutcomeBytes: 16 << 20, RetryShare: 0.1,
		},
	}
}

func (s *Source) read(file string, data []byte, fs *findings.List) {
	sections := inifile.Parse(file, data, fs)
	m := s.Bundle.ProtoReflect()
	for i := range sections {
		sec := &sections[i]
		if !s.registerSection(sec, fs) {
			continue
		}
		if msg := messageForSection(m, sec, fs); msg != nil {
			inifile.Decode(sec, msg, fs)
		}
	}
}

// registerSection records the section of an item. If the item was already declared,
// it adds a finding and returns false.
func (s *Source) registerSection(sec *inifile.Section, fs *findings.List) bool {
	id := sec.Kind + "/" + sec.Label
	if first := s.sections[id]; first != nil {
		fs.Add(sec.Position, "stands already at %s:%d", first.Position.File, first.Position.Line)
		return false
	}
	s.sections[id] = sec
	return true
}

// messageForSection returns the message of the bundle that a section sets. If the section
// is unknown or lacks a name, it adds a finding and returns nil.
func messageForSection(m protoreflect.Message, sec *inifile.Section, fs *findings.List) protoreflect.Message {
	fields := m.Descriptor().Fields()
	if name, ok := singleSections[sec.Kind]; ok {
		return m.Mutable(fields.ByName(name)).Message()
	}
	name, ok := listSections[sec.Kind]
	if !ok {
		fs.Add(sec.Position, "unknown section%s", inifile.Suggest(sec.Kind, knownSections()))
		return nil
	}
	if sec.Label == "" {
		fs.Add(sec.Position, `needs a name, as in [%s "name"]`, sec.Kind)
		return nil
	}
	item := m.Mutable(fields.ByName(name)).List().AppendMutable().Message()
	nameField := item.Descriptor().Fields().ByName("name")
	item.Set(nameField, protoreflect.ValueOfString(sec.Label))
	return item
}
