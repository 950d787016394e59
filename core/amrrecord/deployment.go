package amrrecord

import "strings"

type deploymentSchema1 struct{}

// deploymentWire1 has a single version of the weights, which is in force in
// all availability zones.
type deploymentWire1 struct {
	Type          DeploymentType `json:"type" yaml:"type"`
	Model         string         `json:"model,omitempty" yaml:"model,omitempty"`
	Weights       string         `json:"weights,omitempty" yaml:"weights,omitempty"`
	RoutingPolicy string         `json:"routing-policy" yaml:"routing-policy"`
	Teams         []string       `json:"teams,omitempty" yaml:"teams,omitempty"`
	NonIdempotent []string       `json:"non-idempotent,omitempty" yaml:"non-idempotent,omitempty"`
}

func (deploymentSchema1) newWireSpec() wireSpec { return &deploymentWire1{} }

func (deploymentSchema1) fromSpec(s Spec) (wireSpec, error) {
	d := s.(Deployment)
	w := &deploymentWire1{
		Type:          d.Type,
		Model:         d.Model,
		RoutingPolicy: d.RoutingPolicy,
		Teams:         d.Teams,
		NonIdempotent: d.NonIdempotent,
	}
	switch {
	case len(d.Versions) == 0:
	case len(d.Versions) == 1 && d.Versions[0].Share == 100 && len(d.Versions[0].AvailabilityZones) == 0:
		w.Weights = d.Versions[0].Weights
	default:
		return nil, errNotExpressible("versions", 1, "finish the rollout so that one version has a share of 100 in all availability zones, or keep schema version 2")
	}
	return w, nil
}

func (w *deploymentWire1) spec() Spec {
	d := Deployment{
		Type:          w.Type,
		Model:         w.Model,
		RoutingPolicy: w.RoutingPolicy,
		Teams:         w.Teams,
		NonIdempotent: w.NonIdempotent,
	}
	if w.Weights != "" {
		d.Versions = []Version{{Weights: w.Weights, Share: 100}}
	}
	return d
}

type deploymentSchema2 struct{}

type deploymentWire2 struct {
	Type          DeploymentType `json:"type" yaml:"type"`
	Model         string         `json:"model,omitempty" yaml:"model,omitempty"`
	Versions      []Version      `json:"versions,omitempty" yaml:"versions,omitempty"`
	RoutingPolicy string         `json:"routing-policy" yaml:"routing-policy"`
	Teams         []string       `json:"teams,omitempty" yaml:"teams,omitempty"`
	NonIdempotent []string       `json:"non-idempotent,omitempty" yaml:"non-idempotent,omitempty"`
}

func (deploymentSchema2) newWireSpec() wireSpec { return &deploymentWire2{} }

func (deploymentSchema2) fromSpec(s Spec) (wireSpec, error) {
	w := deploymentWire2(s.(Deployment))
	return &w, nil
}

func (w *deploymentWire2) spec() Spec { return Deployment(*w) }

func (d Deployment) problems() []problem {
	var p problems
	p.requireNonEmpty("routing-policy", d.RoutingPolicy)
	switch d.Type {
	case TypeModel:
		p.requireNonEmpty("model", d.Model)
		p.require(len(d.NonIdempotent) == 0, "non-idempotent", "belongs to services; remove it or set type: service")
	case TypeService:
		p.require(len(d.Versions) == 0, "versions", "belongs to models; remove it or set type: model")
	case "":
		p.requireNonEmpty("type", "")
	default:
		p.require(false, "type", "%q is unknown; write model or service", d.Type)
	}
	for _, path := range d.NonIdempotent {
		p.require(strings.HasPrefix(path, "/"), "non-idempotent", "%q is no path; begin it with /", path)
	}
	d.checkVersions(&p)
	return p
}

// checkVersions checks the fields of each version, and that the shares of the
// versions without availability zones add up to 100 percent.
func (d Deployment) checkVersions(p *problems) {
	total := 0
	for _, v := range d.Versions {
		p.require(v.Weights != "", "versions", "weights is missing; name the weights of each version")
		p.require(v.Share >= 0 && v.Share <= 100, "versions", "share %d is out of range; write a percentage from 0 to 100", v.Share)
		if len(v.AvailabilityZones) == 0 {
			total += v.Share
		}
	}
	p.require(len(d.Versions) == 0 || total == 100, "versions",
		"the shares of the versions without availability-zones add up to %d; make them 100", total)
}
