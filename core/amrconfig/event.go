package amrconfig

import (
	"time"

	"amaranthreach.example/core/amrrecord"
)

// Event is what a Core learns: a Tick, Members, StoreRead, Pulled,
// SnapshotTaken or Heard.
type Event interface {
	event()
}

// Tick says that time passed.
type Tick struct{}

// Members gives the live peers, the process itself among them.
type Members struct {
	Peers []Peer
}

// StoreRead is the outcome of ReadStore.
type StoreRead struct {
	Began time.Time
	Set   amrrecord.Set
	Err   error
}

// Pulled is the outcome of Pull.
type Pulled struct {
	From Peer
	Set  amrrecord.Set
	Age  time.Duration // Time since the peer knew that its revision was the newest.
	Err  error
}

// SnapshotTaken is the outcome of TakeSnapshot.
type SnapshotTaken struct {
	From Peer
	Set  amrrecord.Set
	Err  error
}

// Heard says that some process has seen the revision.
type Heard struct {
	Revision uint64
}

func (Tick) event()          {}
func (Members) event()       {}
func (StoreRead) event()     {}
func (Pulled) event()        {}
func (SnapshotTaken) event() {}
func (Heard) event()         {}

// Action is what a Core asks for: a ReadStore, Pull or TakeSnapshot. Each is
// answered by one event.
type Action interface {
	action()
}

// ReadStore asks to read the head and what is missing up to it.
type ReadStore struct{}

// Pull asks a peer for the records above a revision. The peer may wait with
// its answer for a change.
type Pull struct {
	From  Peer
	Above uint64
	Wait  time.Duration
}

// TakeSnapshot asks a peer for all of its records.
type TakeSnapshot struct {
	From Peer
}

func (ReadStore) action()    {}
func (Pull) action()         {}
func (TakeSnapshot) action() {}
