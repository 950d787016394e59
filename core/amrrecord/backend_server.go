package amrrecord

import "net/netip"

type backendServerSchema struct{}

type backendServerWire struct {
	Deployment       string `json:"deployment" yaml:"deployment"`
	Address          string `json:"address" yaml:"address"`
	AvailabilityZone string `json:"availability-zone" yaml:"availability-zone"`
	Drain            bool   `json:"drain,omitempty" yaml:"drain,omitempty"`
	HonoursFence     bool   `json:"honours-fence,omitempty" yaml:"honours-fence,omitempty"`
}

func (backendServerSchema) newWireSpec() wireSpec { return &backendServerWire{} }

func (backendServerSchema) fromSpec(s Spec) (wireSpec, error) {
	w := backendServerWire(s.(BackendServer))
	return &w, nil
}

func (w *backendServerWire) spec() Spec { return BackendServer(*w) }

func (b BackendServer) problems() []problem {
	var p problems
	p.requireNonEmpty("deployment", b.Deployment)
	p.requireNonEmpty("availability-zone", b.AvailabilityZone)
	if p.requireNonEmpty("address", b.Address) {
		_, err := netip.ParseAddrPort(b.Address)
		p.require(err == nil, "address", "%q is no IP address with a port; write it like 10.0.0.1:7000", b.Address)
	}
	return p
}
