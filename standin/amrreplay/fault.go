package amrreplay

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"amaranthreach.example/core/amrsettings"
)

// Faults lists the faults to inject during a replay. In a file it is a YAML
// list, such as:
//
//   - {at: 5s, kind: crash, target: engine-3, for: 2s}
type Faults []Fault

// Fault is one fault to inject.
type Fault struct {
	At   time.Duration `yaml:"at"` // At is the trace time at which the fault starts.
	Kind FaultKind     `yaml:"kind"`
	// Target names an engine, router or sidecar, such as engine-3, or, for
	// FaultRollout, a weights version. Some kinds need no target.
	Target string `yaml:"target"`
	// For is the duration of the fault in trace time; 0 selects the default
	// of the kind.
	For time.Duration `yaml:"for"`
}

// FaultKind is the kind of a fault.
type FaultKind string

// These are the kinds of faults.
const (
	// FaultCrash kills an engine, router or sidecar and starts it again
	// after the duration.
	FaultCrash FaultKind = "crash"
	// FaultRestart restarts an engine immediately, and stops a router or
	// sidecar gracefully and starts it again after the duration.
	FaultRestart FaultKind = "restart"
	// FaultDrain marks the backend server's record as draining for the
	// duration.
	FaultDrain FaultKind = "drain"
	// FaultFreeze suspends an engine, which keeps its connections, for the
	// duration.
	FaultFreeze FaultKind = "freeze"
	// FaultStoreOutage makes the platform's services refuse every call.
	FaultStoreOutage FaultKind = "store-outage"
	// FaultStoreSlow delays the answers of the platform's services.
	FaultStoreSlow FaultKind = "store-slow"
	// FaultEventGap drops the cache events of the target engine or, without
	// a target, of all engines.
	FaultEventGap FaultKind = "event-gap"
	// FaultLostAnswer drops answers of the platform to writes that took
	// effect.
	FaultLostAnswer FaultKind = "lost-answer"
	// FaultRollout changes the weights version in the records of the models
	// to the target.
	FaultRollout FaultKind = "rollout"
	// FaultOperatorsRace makes several operators change one record
	// concurrently.
	FaultOperatorsRace FaultKind = "operators-race"
	// FaultRouterRestart gracefully restarts the target router or, without
	// a target, all routers one after the other.
	FaultRouterRestart FaultKind = "router-restart"
)

var faultKinds = []FaultKind{
	FaultCrash, FaultRestart, FaultDrain, FaultFreeze, FaultStoreOutage, FaultStoreSlow, FaultEventGap, FaultLostAnswer, FaultRouterRestart,
	FaultRollout, FaultOperatorsRace,
}

const (
	enginePrefix  = "engine-"
	routerPrefix  = "router-"
	sidecarPrefix = "sidecar-"
)

// ReadFaults reads a list of faults from the YAML file at path and checks each
// fault. It does not check that the targets exist in the fleet.
func ReadFaults(path string) (Faults, error) {
	var f Faults
	return f, amrsettings.Read(path, &f)
}

// Check returns an error for the first fault that is not valid, and nil if
// there is none.
func (f *Faults) Check() error {
	for i, fault := range *f {
		if err := fault.validate(); err != nil {
			return badFaults.Wrap(err, "fault %d of the list is not valid", i+1)
		}
	}
	return nil
}

func (f Fault) validate() error {
	switch {
	case !slices.Contains(faultKinds, f.Kind):
		return &amrsettings.FieldError{Field: "kind", Message: fmt.Sprintf("%q is not a kind of fault", f.Kind), Remedy: fmt.Sprintf("set it to one of %v", faultKinds)}
	case f.At < 0 || f.For < 0:
		return &amrsettings.FieldError{Field: "at", Message: "at and for must not be negative", Remedy: "set both to durations such as 5s"}
	case f.requiresTarget() && f.Target == "":
		return &amrsettings.FieldError{Field: "target", Message: "must not be empty", Remedy: "set it to a process such as engine-3 or, for a rollout, to a weights version"}
	case f.acceptsOnlyEngines() && f.Target != "" && !strings.HasPrefix(f.Target, enginePrefix):
		return &amrsettings.FieldError{Field: "target", Message: fmt.Sprintf("%s is not an engine, which the fault %s requires", f.Target, f.Kind), Remedy: "set it to an engine such as engine-3"}
	case f.Kind == FaultRouterRestart && f.Target != "" && !strings.HasPrefix(f.Target, routerPrefix):
		return &amrsettings.FieldError{Field: "target", Message: f.Target + " is not a router", Remedy: "set it to a router such as router-1, or remove it to restart all routers"}
	}
	return nil
}

// requiresTarget reports whether a fault of this kind must name a target.
func (f Fault) requiresTarget() bool {
	return slices.Contains([]FaultKind{FaultCrash, FaultRestart, FaultDrain, FaultFreeze, FaultRollout}, f.Kind)
}

// acceptsOnlyEngines reports whether the target of a fault of this kind, if it
// has one, must be an engine.
func (f Fault) acceptsOnlyEngines() bool {
	return slices.Contains([]FaultKind{FaultDrain, FaultFreeze, FaultEventGap}, f.Kind)
}

// checkTargets returns an error if a fault names a process that does not exist
// in a fleet with the given numbers of engines and routers. Each engine has one
// sidecar. The target of FaultRollout is not a process and is not checked.
func (f Faults) checkTargets(engines, routers int) error {
	for _, fault := range f {
		if fault.Target == "" || fault.Kind == FaultRollout {
			continue
		}
		prefix, count := enginePrefix, engines
		switch {
		case strings.HasPrefix(fault.Target, routerPrefix):
			prefix, count = routerPrefix, routers
		case strings.HasPrefix(fault.Target, sidecarPrefix):
			prefix = sidecarPrefix
		}
		if n, err := strconv.Atoi(strings.TrimPrefix(fault.Target, prefix)); err != nil || n < 1 || n > count {
			return badFaults.New("%q is not a process of the fleet: use a name from %s1 to %s%d", fault.Target, prefix, prefix, count)
		}
	}
	return nil
}
