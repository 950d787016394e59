package amrmember

import (
	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrrecord"
)

// Event is an input of Members.Apply: a RecordPut, RecordRemoved, HostsListed,
// SidecarReplied, RequestSucceeded, RequestFailed or Tick.
type Event interface {
	event()
}

// RecordPut reports that the record of a backend server was created or changed.
type RecordPut struct {
	Name string
	Spec amrrecord.BackendServer
}

// RecordRemoved reports that the record of a backend server was deleted.
type RecordRemoved struct {
	Name string
}

// HostsListed reports the complete host list of the platform.
type HostsListed struct {
	Hosts []amrplatform.Host
}

// SidecarReplied reports the state in a reply of a sidecar. It takes precedence
// over the host list, which lags behind.
type SidecarReplied struct {
	Name               string
	SidecarIncarnation string
	EngineIncarnation  string
	WeightsVersion     string
	Draining           bool // The sidecar accepts no new work.
	Ready              bool // The backend server is able to run requests.
}

// RequestSucceeded reports that a request to the backend server succeeded.
type RequestSucceeded struct {
	Name string
}

// RequestFailed reports that a request failed because of the backend server, its
// sidecar or the connection to them.
type RequestFailed struct {
	Name               string
	SidecarIncarnation string // The process to which the request was sent; empty if it is unknown.
	Unreachable        bool   // No connection could be established.
}

// Tick reports that time has passed.
type Tick struct{}

func (RecordPut) event()        {}
func (RecordRemoved) event()    {}
func (HostsListed) event()      {}
func (SidecarReplied) event()   {}
func (RequestSucceeded) event() {}
func (RequestFailed) event()    {}
func (Tick) event()             {}

// Action is an action that Members asks its caller to perform: a Probe or a
// NotifyLeaving.
type Action interface {
	action()
}

// Probe requests that the sidecar be asked for its state. The reply is reported
// with SidecarReplied.
type Probe struct {
	Name    string
	Address string
}

// NotifyLeaving requests that the sidecar be told whether the host list shows
// its host as leaving. Routers that have not read the list yet then learn it
// from the sidecar.
type NotifyLeaving struct {
	Name    string
	Address string
	Leaving bool
}

func (Probe) action()         {}
func (NotifyLeaving) action() {}
