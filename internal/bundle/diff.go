package bundle

import (
	"bytes"
	"encoding/json"
	"sort"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/junctionfold/junctionfold/schema"
)

// Change is one item that differs between two bundles.
type Change struct {
	// Kind is Added, Removed or Changed.
	Kind string `json:"kind"`
	// Item is the field of the bundle and, for lists, the name of the item, such as
	// adapters/plough-notes.
	Item string `json:"item"`
	// Old and New are the item as compact JSON; empty if it does not exist.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// Kinds of change.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// changePrefixes are the prefixes of a printed change by its kind.
var changePrefixes = map[string]string{Added: "+", Removed: "-", Changed: "~"}

// String returns the change on one line. The old and new values are included only
// for changed items.
func (c Change) String() string {
	line := changePrefixes[c.Kind] + " " + c.Item
	if c.Kind == Changed {
		return line + ": " + c.Old + " -> " + c.New
	}
	return line
}

// Diff returns the items that differ between two bundles, sorted by item.
func Diff(older, newer *schema.Bundle) []Change {
	before, after := itemsByName(older), itemsByName(newer)
	out := []Change{}
	for name, previous := range before {
		current, ok := after[name]
		switch {
		case !ok:
			out = append(out, Change{Kind: Removed, Item: name, Old: compactJSON(previous)})
		case !proto.Equal(previous, current):
			out = append(out, Change{Kind: Changed, Item: name, Old: compactJSON(previous), New: compactJSON(current)})
		}
	}
	for name, current := range after {
		if before[name] == nil {
			out = append(out, Change{Kind: Added, Item: name, New: compactJSON(current)})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Item < out[j].Item })
	return out
}

// itemsByName returns each message of a bundle by its field and, for lists, its
// name.
func itemsByName(b *schema.Bundle) map[string]proto.Message {
	out := map[string]proto.Message{}
	b.ProtoReflect().Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		if !f.IsList() {
			out[string(f.Name())] = v.Message().Interface()
			return true
		}
		for i := range v.List().Len() {
			m := v.List().Get(i).Message()
			name := m.Get(m.Descriptor().Fields().ByName("name")).String()
			out[string(f.Name())+"/"+name] = m.Interface()
		}
		return true
	})
	return out
}

// compactJSON encodes a message as compact JSON. The output of protojson is
// compacted because its whitespace is not stable.
func compactJSON(m proto.Message) string {
	data := []byte(protojson.MarshalOptions{UseProtoNames: true}.Format(m))
	var out bytes.Buffer
	if err := json.Compact(&out, data); err != nil {
		return string(data)
	}
	return out.String()
}
