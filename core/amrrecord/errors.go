package amrrecord

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("record")

// The kinds of errors that this package returns.
var (
	// Invalid is the kind of errors for a malformed document or record and for
	// values out of range.
	Invalid = namespace.NewType("invalid")

	// BrokenReference is the kind of errors for a reference to a record that
	// does not exist.
	BrokenReference = namespace.NewType("broken-reference")

	// UnknownSchema is the kind of errors for a schema version that this
	// program does not support.
	UnknownSchema = namespace.NewType("unknown-schema")

	// NotConvertible is the kind of errors for a record that cannot be written
	// in the requested schema version.
	NotConvertible = namespace.NewType("not-convertible")
)
