package settings

import (
	"net/netip"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/junctionfold/junctionfold/internal/findings"
	"github.com/junctionfold/junctionfold/internal/inifile"
)

// reader reads sections into a message and checks values, with their places.
type reader struct {
	file   string
	fs     *findings.List
	places map[string]findings.Position
}

func newReader(file string, fs *findings.List) reader {
	return reader{file: file, fs: fs, places: map[string]findings.Position{}}
}

// read sets the fields of m from sections: a section names a field, its keys the
// fields of that field's message.
func (p *reader) read(m protoreflect.Message, sections []inifile.Section) {
	fields := m.Descriptor().Fields()
	seen := map[string]int{}
	for i := range sections {
		s := &sections[i]
		f := fields.ByName(protoreflect.Name(s.Kind))
		if f == nil || s.Label != "" {
			p.fs.Add(s.Position, "unknown section%s", inifile.Suggest(s.Kind, sectionNames(fields)))
			continue
		}
		if before := seen[s.Kind]; before > 0 {
			p.fs.Add(s.Position, "stands already on line %d", before)
			continue
		}
		seen[s.Kind] = s.Position.Line
		inifile.Decode(s, m.Mutable(f).Message(), p.fs)
		p.remember(s)
	}
}

func sectionNames(fields protoreflect.FieldDescriptors) []string {
	var out []string
	for i := range fields.Len() {
		out = append(out, string(fields.Get(i).Name()))
	}
	return out
}

func (p *reader) remember(s *inifile.Section) {
	for _, k := range s.Keys {
		p.places[s.Kind+"."+k.Name] = s.Position.WithKey(k.Name, k.Line)
	}
}

// place returns where a key stands, or where it would have to.
func (p *reader) place(section, key string) findings.Position {
	if at, ok := p.places[section+"."+key]; ok {
		return at
	}
	return findings.Position{File: p.file, Section: section, Key: key}
}

func (p *reader) required(section, key, value string) {
	if value == "" {
		p.fs.Add(p.place(section, key), "is required")
	}
}

// address checks an IP number with a port; names are not looked up.
func (p *reader) address(section, key, value string) {
	if value == "" {
		p.fs.Add(p.place(section, key), "is required")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		p.fs.Add(p.place(section, key), "%q is not an IP number with a port, such as 10.0.0.4:9400", value)
	}
}

// span is the range that a number must lie in.
type span struct {
	section, key string
	value        int64
	low, high    int64
}

func (p *reader) inRange(spans []span) {
	for _, r := range spans {
		if r.value < r.low || r.value > r.high {
			p.fs.Add(p.place(r.section, r.key), "%d is not between %d and %d", r.value, r.low, r.high)
		}
	}
}

// fraction is the range that a number with a fraction must lie in.
type fraction struct {
	section, key string
	value        float64
	low, high    float64
}

func (p *reader) inFractions(spans []fraction) {
	for _, r := range spans {
		if !(r.value >= r.low && r.value <= r.high) {
			p.fs.Add(p.place(r.section, r.key), "%g is not between %g and %g", r.value, r.low, r.high)
		}
	}
}

func (p *reader) level(level string) {
	switch level {
	case "debug", "info", "warn", "error":
	default:
		p.fs.Add(p.place("log", "level"), "%q is none of debug, info, warn, error", level)
	}
}
