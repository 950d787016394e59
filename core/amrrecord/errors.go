package amrrecord

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("record")

// The kinds of errors of records.
var (
	// Invalid says that a record is not well formed or out of range.
	Invalid = namespace.NewType("invalid")

	// BrokenReference says that a record names another that does not exist.
	BrokenReference = namespace.NewType("broken-reference")

	// UnknownSchema says that this program does not know the schema version
	// of a record.
	UnknownSchema = namespace.NewType("unknown-schema")

	// NotConvertible says that a record can't be written in the schema
	// version asked for.
	NotConvertible = namespace.NewType("not-convertible")
)
