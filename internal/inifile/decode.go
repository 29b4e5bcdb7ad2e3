package inifile

import (
	"strconv"
	"strings"

	"github.com/agnivade/levenshtein"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/junctionfold/junctionfold/internal/findings"
)

// Decode sets the fields of a message from the keys of a section, which are field
// names. It adds a finding for each invalid value and for each unknown key, with
// the most similar known key.
func Decode(s *Section, into protoreflect.Message, fs *findings.List) {
	fields := into.Descriptor().Fields()
	for _, k := range s.Keys {
		position := s.Position.WithKey(k.Name, k.Line)
		f := fields.ByName(protoreflect.Name(k.Name))
		if f == nil {
			fs.Add(position, "unknown key%s", Suggest(k.Name, fieldNames(fields)))
			continue
		}
		if problem := setField(into, f, k.Value); problem != "" {
			fs.Add(position, "%s", problem)
		}
	}
}

func fieldNames(fields protoreflect.FieldDescriptors) []string {
	out := make([]string, 0, fields.Len())
	for i := range fields.Len() {
		out = append(out, string(fields.Get(i).Name()))
	}
	return out
}

// maxSuggestDistance is the maximum Levenshtein distance of a suggestion.
const maxSuggestDistance = 4

// Suggest returns `; did you mean "x"?` for the known name that is most similar to
// name, or an empty string if none is similar.
func Suggest(name string, known []string) string {
	best, distance := "", maxSuggestDistance+1
	for _, k := range known {
		if d := levenshtein.ComputeDistance(name, k); d < distance {
			best, distance = k, d
		}
	}
	if best == "" {
		return ""
	}
	return `; did you mean "` + best + `"?`
}

// setField parses text and sets a field to its value. It returns a description of
// the problem, or "".
func setField(m protoreflect.Message, f protoreflect.FieldDescriptor, text string) string {
	if f.IsList() {
		return setList(m, f, text)
	}
	v, problem := parseValue(f, text)
	if problem != "" {
		return problem
	}
	m.Set(f, v)
	return ""
}

func setList(m protoreflect.Message, f protoreflect.FieldDescriptor, text string) string {
	list := m.Mutable(f).List()
	for _, part := range strings.Split(text, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		v, problem := parseValue(f, part)
		if problem != "" {
			return problem
		}
		list.Append(v)
	}
	return ""
}

func parseValue(f protoreflect.FieldDescriptor, text string) (protoreflect.Value, string) {
	switch f.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(text), ""
	case protoreflect.BoolKind:
		return parseBool(text)
	case protoreflect.Int32Kind:
		n, err := strconv.ParseInt(text, 10, 32)
		return protoreflect.ValueOfInt32(int32(n)), numberProblem(text, err)
	case protoreflect.Int64Kind:
		n, err := strconv.ParseInt(text, 10, 64)
		return protoreflect.ValueOfInt64(n), numberProblem(text, err)
	case protoreflect.DoubleKind:
		x, err := strconv.ParseFloat(text, 64)
		return protoreflect.ValueOfFloat64(x), numberProblem(text, err)
	case protoreflect.EnumKind:
		return parseEnum(f.Enum(), text)
	}
	return protoreflect.Value{}, "cannot be set in a file"
}

func numberProblem(text string, err error) string {
	if err == nil {
		return ""
	}
	return strconv.Quote(text) + " is not a number in range"
}

func parseBool(text string) (protoreflect.Value, string) {
	switch strings.ToLower(text) {
	case "yes", "true", "on", "1":
		return protoreflect.ValueOfBool(true), ""
	case "no", "false", "off", "0":
		return protoreflect.ValueOfBool(false), ""
	}
	return protoreflect.Value{}, strconv.Quote(text) + " is neither yes nor no"
}

// parseEnum parses the last word of an enum value's name in lower case, such as
// "refuses" for FENCING_REFUSES.
func parseEnum(e protoreflect.EnumDescriptor, text string) (protoreflect.Value, string) {
	var known []string
	for i := 1; i < e.Values().Len(); i++ {
		v := e.Values().Get(i)
		name := string(v.Name())
		short := strings.ToLower(name[strings.LastIndex(name, "_")+1:])
		if short == text {
			return protoreflect.ValueOfEnum(v.Number()), ""
		}
		known = append(known, short)
	}
	return protoreflect.Value{}, strconv.Quote(text) + " is none of " + strings.Join(known, ", ")
}
