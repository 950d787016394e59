// Package amrplatform defines the platform's shared services, which are the
// transactional table, the object store and the host list, and implements a
// client for them and an HTTP handler that serves them.
//
// Every error that a service returns is of one of the kinds in this package, so
// that a caller can distinguish a write that was not applied from one that may
// have been.
package amrplatform

import (
	"context"
	"time"
)

// Table is a transactional key-value table.
type Table interface {
	// Get returns the item with the key, or an error of kind NotFound if there
	// is none.
	Get(ctx context.Context, key string) (Item, error)

	// Scan returns up to limit items whose keys have the prefix and are greater
	// than after, in ascending order of their keys.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Item, error)

	// Commit applies all writes of the transaction or none of them. The error
	// is of kind Conflict if a check failed, of kind Unavailable if the
	// transaction was certainly not applied, and of kind OutcomeUnknown if it
	// may have been applied or may still be.
	Commit(ctx context.Context, txn Txn) error
}

// Item is a row of a table.
type Item struct {
	Key     string
	Value   []byte
	Version uint64 // Starts at 1 and increases with each write of the key, also after a deletion.
}

// Txn is a transaction. Its writes are applied together if all checks hold.
type Txn struct {
	Checks  []Check
	Puts    []Put
	Deletes []string // Keys to delete.
}

// Check is the condition that a key has the version, or that it does not exist
// if the version is 0.
type Check struct {
	Key     string
	Version uint64
}

// Put is a write of a value. It creates the key or replaces its value.
type Put struct {
	Key   string
	Value []byte
}

// ObjectStore is an object store. Objects are written and read as a whole.
type ObjectStore interface {
	// PutObject stores data under the key. It replaces an existing object.
	PutObject(ctx context.Context, key string, data []byte) error

	// GetObject returns the object with the key, or an error of kind NotFound
	// if there is none.
	GetObject(ctx context.Context, key string) ([]byte, error)

	// ListObjects returns up to limit keys that have the prefix and are greater
	// than after, in ascending order.
	ListObjects(ctx context.Context, prefix, after string, limit int) ([]string, error)

	// DeleteObject deletes the object with the key. It returns nil if there is
	// none.
	DeleteObject(ctx context.Context, key string) error
}

// HostList is the platform's list of hosts. It reflects changes with a delay.
type HostList interface {
	// Hosts returns all hosts with the states that the platform last recorded.
	Hosts(ctx context.Context) ([]Host, error)
}

// Host is an entry of the host list.
type Host struct {
	Name             string
	Address          string // IP address and port of the process on the host.
	AvailabilityZone string
	Role             Role
	State            HostState
	Since            time.Time // Time at which the platform recorded the state.
}

// Role is the kind of process that a host runs.
type Role string

// The roles of hosts.
const (
	RoleRouter  Role = "router"
	RoleSidecar Role = "sidecar"
)

// HostState is the state of a host in the host list.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving" // It is being removed and must get no new work.
)
