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

// Source is a bundle read from INI files, with the place of every item.
type Source struct {
	Bundle *schema.Bundle
	places map[string]*inifile.Section
}

// place returns where a key of an item stands.
func (s *Source) place(kind, name, key string) findings.Position {
	if sec := s.places[kind+"/"+name]; sec != nil {
		return sec.PositionOf(key)
	}
	return findings.Position{Section: kind + ` "` + name + `"`, Key: key}
}

// listSections maps a section's kind to the bundle's repeated field.
var listSections = map[string]protoreflect.Name{
	"hall":     "halls",
	"base":     "bases",
	"adapter":  "adapters",
	"service":  "services",
	"target":   "targets",
	"priority": "priorities",
}

// singleSections maps a section's kind to the bundle's single field.
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

// ReadDir reads all *.ini files of a directory in order of their names, or the
// one file that path names, and checks them together. The error is a
// *findings.Error when the files could be read but are wrong.
func ReadDir(path string) (*Source, error) {
	files, err := sourceFiles(path)
	if err != nil {
		return nil, err
	}
	fs := &findings.List{}
	src := &Source{Bundle: defaults(), places: map[string]*inifile.Section{}}
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

// Parse reads one source from memory, as ReadDir does.
func Parse(file string, data []byte) (*Source, error) {
	fs := &findings.List{}
	src := &Source{Bundle: defaults(), places: map[string]*inifile.Section{}}
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

// defaults returns the weights and limits that hold where no file sets them.
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
		if !s.remember(sec, fs) {
			continue
		}
		if msg := messageFor(m, sec, fs); msg != nil {
			inifile.Decode(sec, msg, fs)
		}
	}
}

// remember notes an item's place; it returns false for an item that is there
// already.
func (s *Source) remember(sec *inifile.Section, fs *findings.List) bool {
	id := sec.Kind + "/" + sec.Label
	if before := s.places[id]; before != nil {
		fs.Add(sec.Position, "stands already at %s:%d", before.Position.File, before.Position.Line)
		return false
	}
	s.places[id] = sec
	return true
}

// messageFor returns the message that a section fills, or nil with a finding.
func messageFor(m protoreflect.Message, sec *inifile.Section, fs *findings.List) protoreflect.Message {
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
