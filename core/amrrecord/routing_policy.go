package amrrecord

import "time"

type routingPolicySchema1 struct{}

// routingPolicyWire1 has a single weight. LatencyWeight is the weight of the
// queueing time, and the weight of recomputation is 1-LatencyWeight.
type routingPolicyWire1 struct {
	Policy        Policy   `json:"policy" yaml:"policy"`
	LatencyWeight float64  `json:"latency-weight" yaml:"latency-weight"`
	MaxAttempts   int      `json:"max-attempts,omitempty" yaml:"max-attempts,omitempty"`
	Deadline      duration `json:"deadline,omitzero" yaml:"deadline,omitempty"`
}

func (routingPolicySchema1) newWireSpec() wireSpec { return &routingPolicyWire1{} }

func (routingPolicySchema1) fromSpec(s Spec) (wireSpec, error) {
	r := s.(RoutingPolicy)
	switch {
	case r.RecomputeWeight+r.WaitWeight != 1:
		return nil, errNotExpressible("recompute-weight", 1, "make recompute-weight and wait-weight add up to 1, or keep schema version 2")
	case r.HedgeAfter != 0:
		return nil, errNotExpressible("hedge-after", 1, "remove it, or keep schema version 2")
	case r.MaxQueueWait != 0:
		return nil, errNotExpressible("max-queue-wait", 1, "remove it, or keep schema version 2")
	}
	return &routingPolicyWire1{
		Policy:        r.Policy,
		LatencyWeight: r.WaitWeight,
		MaxAttempts:   r.MaxAttempts,
		Deadline:      duration(r.Deadline),
	}, nil
}

func (w *routingPolicyWire1) spec() Spec {
	return RoutingPolicy{
		Policy:          w.Policy,
		RecomputeWeight: 1 - w.LatencyWeight,
		WaitWeight:      w.LatencyWeight,
		MaxAttempts:     w.MaxAttempts,
		Deadline:        time.Duration(w.Deadline),
	}
}

type routingPolicySchema2 struct{}

type routingPolicyWire2 struct {
	Policy          Policy   `json:"policy" yaml:"policy"`
	RecomputeWeight float64  `json:"recompute-weight,omitempty" yaml:"recompute-weight,omitempty"`
	WaitWeight      float64  `json:"wait-weight,omitempty" yaml:"wait-weight,omitempty"`
	MaxAttempts     int      `json:"max-attempts,omitempty" yaml:"max-attempts,omitempty"`
	Deadline        duration `json:"deadline,omitzero" yaml:"deadline,omitempty"`
	HedgeAfter      duration `json:"hedge-after,omitzero" yaml:"hedge-after,omitempty"`
	MaxQueueWait    duration `json:"max-queue-wait,omitzero" yaml:"max-queue-wait,omitempty"`
}

func (routingPolicySchema2) newWireSpec() wireSpec { return &routingPolicyWire2{} }

func (routingPolicySchema2) fromSpec(s Spec) (wireSpec, error) {
	r := s.(RoutingPolicy)
	return &routingPolicyWire2{
		Policy:          r.Policy,
		RecomputeWeight: r.RecomputeWeight,
		WaitWeight:      r.WaitWeight,
		MaxAttempts:     r.MaxAttempts,
		Deadline:        duration(r.Deadline),
		HedgeAfter:      duration(r.HedgeAfter),
		MaxQueueWait:    duration(r.MaxQueueWait),
	}, nil
}

func (w *routingPolicyWire2) spec() Spec {
	return RoutingPolicy{
		Policy:          w.Policy,
		RecomputeWeight: w.RecomputeWeight,
		WaitWeight:      w.WaitWeight,
		MaxAttempts:     w.MaxAttempts,
		Deadline:        time.Duration(w.Deadline),
		HedgeAfter:      time.Duration(w.HedgeAfter),
		MaxQueueWait:    time.Duration(w.MaxQueueWait),
	}
}

const (
	maxRoutingWeight = 1000
	maxAttempts      = 16
	maxDeadline      = time.Hour
)

func (r RoutingPolicy) problems() []problem {
	var p problems
	switch r.Policy {
	case PolicyCacheAware, PolicyRoundRobin, PolicyLeastLoaded, PolicyPrefixHash:
	case "":
		p.requireNonEmpty("policy", "")
	default:
		p.require(false, "policy", "%q is unknown; write cache-aware, round-robin, least-loaded or prefix-hash", r.Policy)
	}
	p.requireWeight("recompute-weight", r.RecomputeWeight)
	p.requireWeight("wait-weight", r.WaitWeight)
	p.requireRange("max-attempts", r.MaxAttempts, 0, maxAttempts)
	p.requireDuration("deadline", r.Deadline, maxDeadline)
	p.requireDuration("hedge-after", r.HedgeAfter, maxDeadline)
	p.requireDuration("max-queue-wait", r.MaxQueueWait, maxDeadline)
	return p
}
