package amrexplain

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("explain")

// Types of errors.
var (
	// InvalidID is the type of errors for malformed request ids.
	InvalidID = namespace.NewType("bad-id")

	// NotFound is the type of errors for requests without a recorded decision.
	NotFound = namespace.NewType("not-found", errorx.NotFound())
)
