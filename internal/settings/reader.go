package settings

import (
	"net/netip"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/junctionfold/junctionfold/internal/findings"
	"github.com/junctionfold/junctionfold/internal/inifile"
)

// reader decodes sections into a message and validates values. Findings carry the
// position of the key.
type reader struct {
	file      string
	fs        *findings.List
	positions map[string]findings.Position
}

func newReader(file string, fs *findings.List) reader {
	return reader{file: file, fs: fs, positions: map[string]findings.Position{}}
}

// read sets the fields of m from sections. The name of a section is a field of m;
// its keys are fields of that field's message.
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
		if firstLine := seen[s.Kind]; firstLine > 0 {
			p.fs.Add(s.Position, "stands already on line %d", firstLine)
			continue
		}
		seen[s.Kind] = s.Position.Line
		inifile.Decode(s, m.Mutable(f).Message(), p.fs)
		p.recordPositions(s)
	}
}

func sectionNames(fields protoreflect.FieldDescriptors) []string {
	var out []string
	for i := range fields.Len() {
		out = append(out, string(fields.Get(i).Name()))
	}
	return out
}

func (p *reader) recordPositions(s *inifile.Section) {
	for _, k := range s.Keys {
		p.positions[s.Kind+"."+k.Name] = s.Position.WithKey(k.Name, k.Line)
	}
}

// positionOf returns the position of a key in the file. For a missing key the
// position has no line.
func (p *reader) positionOf(section, key string) findings.Position {
	if position, ok := p.positions[section+"."+key]; ok {
		return position
	}
	return findings.Position{File: p.file, Section: section, Key: key}
}

func (p *reader) checkRequired(section, key, value string) {
	if value == "" {
		p.fs.Add(p.positionOf(section, key), "is required")
	}
}

// checkAddress checks that a value is an IP address with a port. Host names are
// rejected because they are not resolved.
func (p *reader) checkAddress(section, key, value string) {
	if value == "" {
		p.fs.Add(p.positionOf(section, key), "is required")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		p.fs.Add(p.positionOf(section, key), "%q is not an IP number with a port, such as 10.0.0.4:9400", value)
	}
}

// intRange is an integer setting with the inclusive range of valid values.
type intRange struct {
	section, key string
	value        int64
	low, high    int64
}

func (p *reader) checkIntRanges(ranges []intRange) {
	for _, r := range ranges {
		if r.value < r.low || r.value > r.high {
			p.fs.Add(p.positionOf(r.section, r.key), "%d is not between %d and %d", r.value, r.low, r.high)
		}
	}
}

// floatRange is a floating-point setting with the inclusive range of valid values.
type floatRange struct {
	section, key string
	value        float64
	low, high    float64
}

func (p *reader) checkFloatRanges(ranges []floatRange) {
	for _, r := range ranges {
		if !(r.value >= r.low && r.value <= r.high) {
			p.fs.Add(p.positionOf(r.section, r.key), "%g is not between %g and %g", r.value, r.low, r.high)
		}
	}
}

func (p *reader) checkLogLevel(level string) {
	switch level {
	case "debug", "info", "warn", "error":
	default:
		p.fs.Add(p.positionOf("log", "level"), "%q is none of debug, info, warn, error", level)
	}
}
