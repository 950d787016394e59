package amrconfig

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("config")

// The kinds of errors of the configuration.
var (
	// Conflict says that somebody else changed the same records meanwhile.
	Conflict = namespace.NewType("conflict")

	// Incomplete says that a change lacks what the audit trail needs.
	Incomplete = namespace.NewType("incomplete")

	// TooOld says that a process no longer knows what changed since a
	// revision.
	TooOld = namespace.NewType("too-old")

	// Unresolved says that a change may or may not be in force: apply it again
	// with the same token.
	Unresolved = namespace.NewType("unresolved", errorx.Temporary())
)

// IsTooOld reports whether the error is of kind TooOld.
func IsTooOld(err error) bool {
	return errorx.IsOfType(err, TooOld)
}
