package amrplatform

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("platform")

// The kinds of errors of the platform's services.
var (
	// NotFound says that no value stands under the key.
	NotFound = namespace.NewType("not-found", errorx.NotFound())

	// Conflict says that a check of a transaction failed. Nothing was
	// written: read again and decide anew.
	Conflict = namespace.NewType("conflict")

	// Unavailable says that the service did not take the request. Nothing was
	// written: try again after a pause.
	Unavailable = namespace.NewType("unavailable", errorx.Temporary())

	// OutcomeUnknown says that a write may or may not have taken effect:
	// read back by a token of the write before trying again.
	OutcomeUnknown = namespace.NewType("outcome-unknown", errorx.Temporary())
)
