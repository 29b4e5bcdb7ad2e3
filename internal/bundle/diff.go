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
	// Kind is "added", "removed" or "changed".
	Kind string `json:"kind"`
	// Item names the list and the item, such as adapters/plough-notes.
	Item string `json:"item"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// Kinds of change.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// marks stand in front of a change's line.
var marks = map[string]string{Added: "+", Removed: "-", Changed: "~"}

// String gives the change on one line.
func (c Change) String() string {
	line := marks[c.Kind] + " " + c.Item
	if c.Kind == Changed {
		return line + ": " + c.Old + " -> " + c.New
	}
	return line
}

// Diff returns what differs between two bundles, in order of the items' names.
func Diff(older, newer *schema.Bundle) []Change {
	before, after := items(older), items(newer)
	out := []Change{}
	for name, old := range before {
		now, ok := after[name]
		switch {
		case !ok:
			out = append(out, Change{Kind: Removed, Item: name, Old: text(old)})
		case !proto.Equal(old, now):
			out = append(out, Change{Kind: Changed, Item: name, Old: text(old), New: text(now)})
		}
	}
	for name, now := range after {
		if before[name] == nil {
			out = append(out, Change{Kind: Added, Item: name, New: text(now)})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Item < out[j].Item })
	return out
}

// items returns every message of a bundle by list and name.
func items(b *schema.Bundle) map[string]proto.Message {
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

// text gives a message as compact JSON; protojson itself varies its spaces.
func text(m proto.Message) string {
	data := []byte(protojson.MarshalOptions{UseProtoNames: true}.Format(m))
	var out bytes.Buffer
	if err := json.Compact(&out, data); err != nil {
		return string(data)
	}
	return out.String()
}
