// Package amrplatform is the client of the platform's shared services: the
// transactional table service, the object store and the host list.
//
// Every error it returns is of one of the kinds in this package, so that a
// caller can tell a write that did not happen from one that may have.
package amrplatform

import (
	"context"
	"time"
)

// Table is a transactional key-value table.
type Table interface {
	// Get returns the item under key, or an error of kind NotFound.
	Get(ctx context.Context, key string) (Item, error)

	// Scan returns at most limit items whose key has the prefix and is
	// greater than after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Item, error)

	// Commit applies the transaction whole or not at all. It returns an error
	// of kind Conflict when a check failed, Unavailable when the transaction
	// certainly was not applied, and OutcomeUnknown when it may have been.
	Commit(ctx context.Context, txn Txn) error
}

// Item is one row of a table.
type Item struct {
	Key     string
	Value   []byte
	Version uint64 // Grows with each write of the key, from 1.
}

// Txn is a set of checks and writes that are applied together.
type Txn struct {
	Checks  []Check
	Puts    []Put
	Deletes []string
}

// Check requires that a key stands at a version. Version 0 requires that the
// key does not exist.
type Check struct {
	Key     string
	Version uint64
}

// Put writes a value under a key.
type Put struct {
	Key   string
	Value []byte
}

// Objects is a store of whole immutable values.
type Objects interface {
	// PutObject stores data under key and replaces what stood there.
	PutObject(ctx context.Context, key string, data []byte) error

	// GetObject returns the data under key, or an error of kind NotFound.
	GetObject(ctx context.Context, key string) ([]byte, error)

	// ListObjects returns at most limit keys that have the prefix and are
	// greater than after, in order.
	ListObjects(ctx context.Context, prefix, after string, limit int) ([]string, error)

	// DeleteObject removes the data under key. A missing key is no error.
	DeleteObject(ctx context.Context, key string) error
}

// HostList is the platform's lagging list of hosts.
type HostList interface {
	// Hosts returns the hosts as the platform last saw them.
	Hosts(ctx context.Context) ([]Host, error)
}

// Host is one entry of the host list.
type Host struct {
	Name             string
	Address          string // IP address and port of the process on the host.
	AvailabilityZone string
	Role             Role
	State            HostState
	Since            time.Time // When the platform noted the state.
}

// Role says which process a host runs.
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
	HostLeaving HostState = "leaving"
)
