package amrreplay

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"amaranthreach.example/core/amrsettings"
)

// Faults are what fails during a replay. In a file they are a YAML list:
//
//   - {at: 5s, kind: crash, target: engine-3, for: 2s}
type Faults []Fault

// Fault is one failure.
type Fault struct {
	At     time.Duration `yaml:"at"` // In the time of the trace.
	Kind   FaultKind     `yaml:"kind"`
	Target string        `yaml:"target"` // An engine, router or sidecar such as engine-3 or sidecar-3; empty where the kind needs none.
	For    time.Duration `yaml:"for"`    // How long it lasts; 0 for the usual time of the kind.
}

// FaultKind names a kind of failure.
type FaultKind string

// The kinds of failures.
const (
	FaultCrash         FaultKind = "crash"          // An engine, router or sidecar dies and comes back.
	FaultRestart       FaultKind = "restart"        // The same, gracefully for routers and sidecars.
	FaultDrain         FaultKind = "drain"          // An engine's record says drain.
	FaultFreeze        FaultKind = "freeze"         // An engine stands still.
	FaultStoreOutage   FaultKind = "store-outage"   // The platform's services refuse every call.
	FaultStoreSlow     FaultKind = "store-slow"     // The platform's services answer late.
	FaultEventGap      FaultKind = "event-gap"      // Cache events of an engine, or of all, are lost.
	FaultLostAnswer    FaultKind = "lost-answer"    // Answers of the platform are lost after the write took effect.
	FaultRollout       FaultKind = "rollout"        // The records of the models name another version of the weights, the target.
	FaultOperatorsRace FaultKind = "operators-race" // Operators change one record at the same moment.
	FaultRouterRestart FaultKind = "router-restart" // A router, or all one after the other, restarts gracefully.
)

var faultKinds = []FaultKind{
	FaultCrash, FaultRestart, FaultDrain, FaultFreeze, FaultStoreOutage, FaultStoreSlow, FaultEventGap, FaultLostAnswer, FaultRouterRestart,
	FaultRollout, FaultOperatorsRace,
}

const (
	engineName  = "engine-"
	routerName  = "router-"
	sidecarName = "sidecar-"
)

// ReadFaults reads a file of faults.
func ReadFaults(path string) (Faults, error) {
	var f Faults
	return f, amrsettings.Read(path, &f)
}

// Check returns the first broken rule.
func (f *Faults) Check() error {
	for i, fault := range *f {
		if err := fault.check(); err != nil {
			return badFaults.Wrap(err, "fault %d of the list", i+1)
		}
	}
	return nil
}

func (f Fault) check() error {
	switch {
	case !slices.Contains(faultKinds, f.Kind):
		return &amrsettings.FieldError{Field: "kind", Message: fmt.Sprintf("%q is no kind of fault", f.Kind), Remedy: fmt.Sprintf("write one of %v", faultKinds)}
	case f.At < 0 || f.For < 0:
		return &amrsettings.FieldError{Field: "at", Message: "a time is below zero", Remedy: "write a time such as 5s"}
	case f.needsTarget() && f.Target == "":
		return &amrsettings.FieldError{Field: "target", Message: "is missing", Remedy: "name a process such as engine-3 or router-1"}
	case f.onlyEngines() && f.Target != "" && !strings.HasPrefix(f.Target, engineName):
		return &amrsettings.FieldError{Field: "target", Message: fmt.Sprintf("%s does not %s", f.Target, f.Kind), Remedy: "name an engine such as engine-3"}
	case f.Kind == FaultRouterRestart && f.Target != "" && !strings.HasPrefix(f.Target, routerName):
		return &amrsettings.FieldError{Field: "target", Message: f.Target + " is no router", Remedy: "name a router such as router-1, or none for all"}
	}
	return nil
}

func (f Fault) needsTarget() bool {
	return slices.Contains([]FaultKind{FaultCrash, FaultRestart, FaultDrain, FaultFreeze, FaultRollout}, f.Kind)
}

func (f Fault) onlyEngines() bool {
	return slices.Contains([]FaultKind{FaultDrain, FaultFreeze, FaultEventGap}, f.Kind)
}

// checkTargets checks that every target is in a fleet of the size.
func (f Faults) checkTargets(engines, routers int) error {
	for _, fault := range f {
		if fault.Target == "" || fault.Kind == FaultRollout {
			continue
		}
		kind, limit := engineName, engines
		switch {
		case strings.HasPrefix(fault.Target, routerName):
			kind, limit = routerName, routers
		case strings.HasPrefix(fault.Target, sidecarName):
			kind = sidecarName
		}
		if n, err := strconv.Atoi(strings.TrimPrefix(fault.Target, kind)); err != nil || n < 1 || n > limit {
			return badFaults.New("no process is called %s: name one from %s1 to %s%d", fault.Target, kind, kind, limit)
		}
	}
	return nil
}
