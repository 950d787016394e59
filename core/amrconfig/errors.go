package amrconfig

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("config")

// The kinds of errors that this package returns.
var (
	// Conflict is the kind of errors for a change whose records have been
	// changed by another writer since the base revision.
	Conflict = namespace.NewType("conflict")

	// InvalidRequest is the kind of errors for a request that lacks a field
	// required for the audit trail or that names a revision that does not
	// exist.
	InvalidRequest = namespace.NewType("incomplete")

	// TooOld is the kind of errors for a request for the changes since a
	// revision that the process no longer keeps.
	TooOld = namespace.NewType("too-old")

	// Unresolved is the kind of errors for a change that may or may not have
	// been applied. To resolve it, the caller applies the change again with
	// the same token.
	Unresolved = namespace.NewType("unresolved", errorx.Temporary())
)

// IsTooOld reports whether the error is of kind TooOld.
func IsTooOld(err error) bool {
	return errorx.IsOfType(err, TooOld)
}
