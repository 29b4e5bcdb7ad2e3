package main

import (
	_ "embed"
	"encoding/json"
)

// wireNames has the platform's names on the wire, by the names that this program gives them.
//
//go:embed wire.json
var wireNames []byte

var wireTable = func() (t map[string]string) {
	if err := json.Unmarshal(wireNames, &t); err != nil {
		panic(err)
	}
	return t
}()

// wire returns the platform's name of a header, a field, a key or a call.
func wire(name string) string {
	out, known := wireTable[name]
	if !known {
		panic("no name on the wire for " + name)
	}
	return out
}
