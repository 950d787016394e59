package amrrecord

import (
	"errors"
	"fmt"
	"regexp"
	"time"
)

// Validate checks all records in force in the set and the references between
// them. The error joins one error for each problem, each a single line with
// the record and a correction.
func Validate(set Set) error {
	var errs []error
	for _, r := range set.Records() {
		errs = append(errs, ValidateRecord(r), set.ValidateReferences(r))
	}
	return errors.Join(errs...)
}

// ValidateRecord checks the name, the rollout and the fields of one record,
// but not its references. It returns errors of kind Invalid.
func ValidateRecord(r Record) error {
	var errs []error
	for _, p := range r.problems() {
		errs = append(errs, Invalid.New("%s%s: %s: %s", r.positionPrefix(), r.ID(), p.field, p.message))
	}
	return errors.Join(errs...)
}

// problems returns the invalid fields of the record.
func (r Record) problems() []problem {
	var p problems
	p.require(namePattern.MatchString(r.Name), "name", "%q is no name; use up to 128 lower-case letters, digits, dots and hyphens", r.Name)
	p.requireRange("rollout", r.Rollout.Share, 0, 100)
	p.require(!r.Rollout.partial() || r.Kind() != KindBackendServer, "rollout", "a backend server can't be in force for a share of the requests; name availability-zones")
	return append(p, r.Spec.problems()...)
}

// ValidateReferences checks that the records that r refers to are in force in
// the set, and that no other team uses a key of r. It returns errors of kind
// BrokenReference or Invalid.
func (s Set) ValidateReferences(r Record) error {
	var errs []error
	requireRecord := func(field string, id ID) {
		if _, ok := s.Get(id); !ok && id.Name != "" {
			errs = append(errs, BrokenReference.New("%s%s: %s: there is no %s; add it or name one that exists",
				r.positionPrefix(), r.ID(), field, id))
		}
	}
	switch spec := r.Spec.(type) {
	case Team:
		for _, digest := range spec.KeySHA256 {
			if owner, _, ok := s.TeamByKey(digest); ok && owner != r.Name {
				errs = append(errs, Invalid.New("%s%s: key-sha256: the key %s belongs to team/%s too; give each team keys of its own",
					r.positionPrefix(), r.ID(), digest, owner))
			}
		}
	case RoutingPolicy:
	case Deployment:
		requireRecord("routing-policy", ID{KindRoutingPolicy, spec.RoutingPolicy})
		for _, team := range spec.Teams {
			requireRecord("teams", ID{KindTeam, team})
		}
	case BackendServer:
		requireRecord("deployment", ID{KindDeployment, spec.Deployment})
	}
	return errors.Join(errs...)
}

// namePattern matches valid record names.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,126}[a-z0-9])?$`)

// positionPrefix returns the position of the record for the start of an error
// message, or the empty string if the record has none.
func (r Record) positionPrefix() string {
	if r.position.File == "" {
		return ""
	}
	return r.position.String() + ": "
}

// problem is an invalid value of a field. The message describes the problem
// and how to correct it.
type problem struct {
	field   string
	message string
}

// problems collects the problems of a record.
type problems []problem

// require adds a problem with the formatted message unless ok is true.
func (p *problems) require(ok bool, field, format string, args ...any) {
	if !ok {
		*p = append(*p, problem{field, fmt.Sprintf(format, args...)})
	}
}

// requireNonEmpty adds a problem if the value is empty. It reports whether the
// value is set.
func (p *problems) requireNonEmpty(field, value string) bool {
	p.require(value != "", field, "is missing; add it")
	return value != ""
}

// requireRange adds a problem unless low <= value <= high.
func (p *problems) requireRange(field string, value, low, high int) {
	p.require(value >= low && value <= high, field, "%d is out of range; write a number from %d to %d", value, low, high)
}

// requireWeight adds a problem unless the value is from 0 to maxRoutingWeight.
func (p *problems) requireWeight(field string, value float64) {
	p.require(value >= 0 && value <= maxRoutingWeight, field, "%v is out of range; write a number from 0 to %d", value, maxRoutingWeight)
}

// requireDuration adds a problem unless the value is from 0 to high.
func (p *problems) requireDuration(field string, value, high time.Duration) {
	p.require(value >= 0 && value <= high, field, "%s is out of range; write a duration from 0s to %s", value, high)
}
