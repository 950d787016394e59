package amraudit

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("audit")

// Types of errors found by verification.
var (
	// Gap is the type of errors for missing entries.
	Gap = namespace.NewType("gap")

	// Edited is the type of errors for entries that differ from those written.
	Edited = namespace.NewType("edited")
)
