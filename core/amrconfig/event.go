package amrconfig

import (
	"time"

	"amaranthreach.example/core/amrrecord"
)

// Event is an input of a FollowerState: a Tick, PeersUpdated, StoreRead,
// Pulled, SnapshotFetched or RevisionObserved.
type Event interface {
	event()
}

// Tick indicates that time has passed.
type Tick struct{}

// PeersUpdated carries the list of live peers, which includes the process
// itself.
type PeersUpdated struct {
	Peers []Peer
}

// StoreRead is the result of a ReadStore action.
type StoreRead struct {
	StartedAt time.Time // Time at which the read began.
	Set       amrrecord.Set
	Err       error
}

// Pulled is the result of a Pull action.
type Pulled struct {
	From Peer
	Set  amrrecord.Set
	Age  time.Duration // Time since the peer last knew that its revision was the newest.
	Err  error
}

// SnapshotFetched is the result of a FetchSnapshot action.
type SnapshotFetched struct {
	From Peer
	Set  amrrecord.Set
	Err  error
}

// RevisionObserved indicates that some process has seen the revision.
type RevisionObserved struct {
	Revision uint64
}

func (Tick) event()             {}
func (PeersUpdated) event()     {}
func (StoreRead) event()        {}
func (Pulled) event()           {}
func (SnapshotFetched) event()  {}
func (RevisionObserved) event() {}

// Action is an operation that a FollowerState requests: a ReadStore, Pull or
// FetchSnapshot. The result of each is passed to the FollowerState as one
// event.
type Action interface {
	action()
}

// ReadStore requests a read of the head and of the records up to its revision.
type ReadStore struct{}

// Pull requests the changes since a revision from a peer. If there are none,
// the peer may delay its reply until it has a newer revision, but by no more
// than Wait.
type Pull struct {
	From  Peer
	Since uint64
	Wait  time.Duration
}

// FetchSnapshot requests all records from a peer.
type FetchSnapshot struct {
	From Peer
}

func (ReadStore) action()     {}
func (Pull) action()          {}
func (FetchSnapshot) action() {}
