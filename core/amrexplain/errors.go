package amrexplain

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("explain")

// The kinds of errors of explanations.
var (
	// BadID says that a text is no request id.
	BadID = namespace.NewType("bad-id")

	// NotFound says that no decision of the request is kept.
	NotFound = namespace.NewType("not-found", errorx.NotFound())
)
