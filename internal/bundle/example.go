package bundle

import _ "embed"

// Example is an annotated bundle source that Parse accepts.
//
//go:embed example.ini
var Example string
