package amrplatform

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("platform")

// The kinds of errors that the services return.
var (
	// NotFound means that the key does not exist.
	NotFound = namespace.NewType("not-found", errorx.NotFound())

	// Conflict means that a check of a transaction failed and that nothing was
	// written. The caller should read the items again and build a new
	// transaction.
	Conflict = namespace.NewType("conflict")

	// Unavailable means that the request failed and that nothing was written.
	// The caller should try again after a pause.
	Unavailable = namespace.NewType("unavailable", errorx.Temporary())

	// OutcomeUnknown means that a write may have been applied, or may still be
	// applied later. Before it tries again, the caller should read the item and
	// look for a token that identifies the write.
	OutcomeUnknown = namespace.NewType("outcome-unknown", errorx.Temporary())
)
