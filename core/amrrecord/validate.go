package amrrecord

import (
	"errors"
	"fmt"
	"regexp"
	"time"
)

// Validate checks every record of the set and the references between them.
// Each problem is one line that names the record and the remedy.
func Validate(set Set) error {
	var errs []error
	for _, r := range set.Records() {
		errs = append(errs, ValidateRecord(r), set.ValidateReferences(r))
	}
	return errors.Join(errs...)
}

// ValidateRecord checks the name and the fields of one record.
func ValidateRecord(r Record) error {
	var errs []error
	for _, p := range r.problems() {
		errs = append(errs, Invalid.New("%s%s: %s: %s", r.prefix(), r.ID(), p.field, p.message))
	}
	return errors.Join(errs...)
}

func (r Record) problems() []problem {
	var p problems
	p.check(namePattern.MatchString(r.Name), "name", "%q is no name; use up to 128 lower-case letters, digits, dots and hyphens", r.Name)
	p.between("rollout", r.Rollout.Share, 0, 100)
	p.check(!r.Rollout.partial() || r.Kind() != KindBackendServer, "rollout", "a backend server can't be in force for a share of the requests; name availability-zones")
	return append(p, r.Spec.problems()...)
}

// ValidateReferences checks that the records that r names are in the set,
// and that no other team has its keys.
func (s Set) ValidateReferences(r Record) error {
	var errs []error
	refer := func(field string, id ID) {
		if _, ok := s.Get(id); !ok && id.Name != "" {
			errs = append(errs, BrokenReference.New("%s%s: %s: there is no %s; add it or name one that exists",
				r.prefix(), r.ID(), field, id))
		}
	}
	switch spec := r.Spec.(type) {
	case Team:
		for _, digest := range spec.KeySHA256 {
			if owner, _, ok := s.TeamByKey(digest); ok && owner != r.Name {
				errs = append(errs, Invalid.New("%s%s: key-sha256: the key %s belongs to team/%s too; give each team keys of its own",
					r.prefix(), r.ID(), digest, owner))
			}
		}
	case RoutingPolicy:
	case Deployment:
		refer("routing-policy", ID{KindRoutingPolicy, spec.RoutingPolicy})
		for _, team := range spec.Teams {
			refer("teams", ID{KindTeam, team})
		}
	case BackendServer:
		refer("deployment", ID{KindDeployment, spec.Deployment})
	}
	return errors.Join(errs...)
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,126}[a-z0-9])?$`)

func (r Record) prefix() string {
	if r.position.File == "" {
		return ""
	}
	return r.position.String() + ": "
}

// problem says what is wrong with a field and how to mend it.
type problem struct {
	field   string
	message string
}

type problems []problem

func (p *problems) check(ok bool, field, format string, args ...any) {
	if !ok {
		*p = append(*p, problem{field, fmt.Sprintf(format, args...)})
	}
}

func (p *problems) required(field, value string) bool {
	p.check(value != "", field, "is missing; add it")
	return value != ""
}

func (p *problems) between(field string, value, low, high int) {
	p.check(value >= low && value <= high, field, "%d is out of range; write a number from %d to %d", value, low, high)
}

func (p *problems) weight(field string, value float64) {
	p.check(value >= 0 && value <= maxRoutingWeight, field, "%v is out of range; write a number from 0 to %d", value, maxRoutingWeight)
}

func (p *problems) within(field string, value, high time.Duration) {
	p.check(value >= 0 && value <= high, field, "%s is out of range; write a duration from 0s to %s", value, high)
}
