package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireFile []byte

// wire has the platform's names, which stand in wire.json: Go files outside of platform/ hold none of them.
var wire = readWire()

func readWire() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(wireFile, &names); err != nil {
		panic(err)
	}
	return names
}
