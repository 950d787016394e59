package amrmember

import (
	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrrecord"
)

// Event is something that Members takes in: a RecordPut, RecordRemoved,
// HostsListed, Replied, Succeeded, Failed or Tick.
type Event interface {
	event()
}

// RecordPut says that the record of a backend server was written.
type RecordPut struct {
	Name string
	Spec amrrecord.BackendServer
}

// RecordRemoved says that the record of a backend server was removed.
type RecordRemoved struct {
	Name string
}

// HostsListed carries the whole host list.
type HostsListed struct {
	Hosts []amrplatform.Host
}

// Replied carries what a sidecar says of itself. It overrules the host list.
type Replied struct {
	Name               string
	SidecarIncarnation string
	EngineIncarnation  string
	WeightsVersion     string
	Draining           bool
	Ready              bool
}

// Succeeded says that an attempt at the backend server went well.
type Succeeded struct {
	Name string
}

// Failed says that an attempt failed for a fault of the backend server, its
// sidecar or the way to them.
type Failed struct {
	Name               string
	SidecarIncarnation string // The process that was tried; empty when it was not heard.
	Unreachable        bool   // No connection could be made.
}

// Tick says that time passed.
type Tick struct{}

func (RecordPut) event()     {}
func (RecordRemoved) event() {}
func (HostsListed) event()   {}
func (Replied) event()       {}
func (Succeeded) event()     {}
func (Failed) event()        {}
func (Tick) event()          {}

// Action is something that Members wants done: a Probe or Notify.
type Action interface {
	action()
}

// Probe asks for a report of the sidecar, to be passed on as Replied.
type Probe struct {
	Name    string
	Address string
}

// Notify tells a sidecar whether its host leaves, as the host list says. So the
// routers that have not read the list hear it from the sidecar.
type Notify struct {
	Name    string
	Address string
	Leaving bool
}

func (Probe) action()  {}
func (Notify) action() {}
