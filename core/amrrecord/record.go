// Package amrrecord defines the records by which operators drive the system:
// teams, deployments, routing policies and backend servers.
//
// A record is written in YAML under one of the schema versions of its kind.
// Whatever the version, a program sees the same types.
package amrrecord

import (
	"fmt"
	"strings"
	"time"
)

// Record is one declaration of an operator.
type Record struct {
	Name          string
	SchemaVersion int // Version it is written in; 0 means the newest.
	Rollout       Rollout
	Spec          Spec

	position Position
}

// Kind returns the kind of the record.
func (r Record) Kind() Kind {
	return r.Spec.kind()
}

// ID returns the identity of the record.
func (r Record) ID() ID {
	return ID{Kind: r.Kind(), Name: r.Name}
}

// Position returns where the record was read, or the zero value.
func (r Record) Position() Position {
	return r.position
}

// Position is a line of a file.
type Position struct {
	File string
	Line int
}

// String returns the file and the line, separated by a colon, or nothing for
// the zero value.
func (p Position) String() string {
	if p.File == "" {
		return ""
	}
	return fmt.Sprintf("%s:%d", p.File, p.Line)
}

// ID identifies a record among all records.
type ID struct {
	Kind Kind
	Name string
}

// String returns the kind and the name, separated by a slash.
func (id ID) String() string {
	return string(id.Kind) + "/" + id.Name
}

// ParseID returns the identity that String wrote.
func ParseID(s string) ID {
	kind, name, _ := strings.Cut(s, "/")
	return ID{Kind(kind), name}
}

// Kind names a kind of record.
type Kind string

// The kinds of records.
const (
	KindTeam          Kind = "team"
	KindDeployment    Kind = "deployment"
	KindRoutingPolicy Kind = "routing-policy"
	KindBackendServer Kind = "backend-server"
)

// Kinds returns all kinds, in the order in which records refer to each other.
func Kinds() []Kind {
	return []Kind{KindTeam, KindRoutingPolicy, KindDeployment, KindBackendServer}
}

// Spec is the content of a record: a Team, Deployment, RoutingPolicy or
// BackendServer.
type Spec interface {
	kind() Kind
	problems() []problem
}

// Team is a group of callers with keys, limits and a share of the queues.
type Team struct {
	KeySHA256         []string // Hex digests of the bearer keys.
	Weight            int      // Share in the queues; 0 means 1.
	Priority          int      // Lower runs first.
	RequestsPerSecond float64  // 0 for no limit.
	TokensPerSecond   float64  // 0 for no limit.
	Concurrency       int      // Requests in flight; 0 for no limit.
	Operator          bool     // The keys may use the operators' interface.
}

func (Team) kind() Kind { return KindTeam }

// Deployment is a model or a plain service that callers name in requests.
type Deployment struct {
	Type          DeploymentType
	Model         string
	Versions      []Version
	RoutingPolicy string
	Teams         []string // Teams that may use it; empty for all.
	NonIdempotent []string // Path prefixes of a service whose calls may not be repeated.
}

func (Deployment) kind() Kind { return KindDeployment }

// DeploymentType says what stands behind a deployment.
type DeploymentType string

// The types of deployments.
const (
	TypeModel   DeploymentType = "model"
	TypeService DeploymentType = "service"
)

// Version is a version of a deployment's weights that is in force for a share
// of the traffic or for some availability zones.
type Version struct {
	Weights           string   `json:"weights" yaml:"weights"`
	Share             int      `json:"share" yaml:"share"` // In percent.
	AvailabilityZones []string `json:"availability-zones,omitempty" yaml:"availability-zones,omitempty"`
}

// RoutingPolicy says how backend servers are chosen.
type RoutingPolicy struct {
	Policy          Policy
	RecomputeWeight float64
	WaitWeight      float64
	MaxAttempts     int
	Deadline        time.Duration
	HedgeAfter      time.Duration // 0 for no hedging.
	MaxQueueWait    time.Duration
}

func (RoutingPolicy) kind() Kind { return KindRoutingPolicy }

// Policy names a rule of choice.
type Policy string

// The rules of choice.
const (
	PolicyCacheAware  Policy = "cache-aware"
	PolicyRoundRobin  Policy = "round-robin"
	PolicyLeastLoaded Policy = "least-loaded"
	PolicyPrefixHash  Policy = "prefix-hash"
)

// BackendServer is one server of a deployment and the sidecar before it.
type BackendServer struct {
	Deployment       string
	Address          string // IP address and port of the sidecar.
	AvailabilityZone string
	Drain            bool
	HonoursFence     bool
}

func (BackendServer) kind() Kind { return KindBackendServer }
