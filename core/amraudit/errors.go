package amraudit

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("audit")

// The kinds of errors of the audit trail.
var (
	// Gap says that entries are missing.
	Gap = namespace.NewType("gap")

	// Edited says that an entry is not what was written.
	Edited = namespace.NewType("edited")
)
