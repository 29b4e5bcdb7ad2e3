// Package schema defines the messages and settings of junctionfold. The .proto
// files are the source. The Go code is generated from them by make generate and
// committed.
package schema
