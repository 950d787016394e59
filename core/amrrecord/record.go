// Package amrrecord defines the configuration records that operators write:
// teams, deployments, routing policies and backend servers.
//
// An operator writes a record as a YAML document in one of the schema versions
// of its kind. Go code works with one type for each kind, whatever schema
// version the record was written in.
package amrrecord

import (
	"fmt"
	"strings"
	"time"
)

// Record is one configuration record.
type Record struct {
	Name          string
	SchemaVersion int // Schema version that the record is written in; 0 means the newest.
	Rollout       Rollout
	Spec          Spec

	position Position
}

// Kind returns the kind of the record's spec.
func (r Record) Kind() Kind {
	return r.Spec.kind()
}

// ID returns the kind and name of the record.
func (r Record) ID() ID {
	return ID{Kind: r.Kind(), Name: r.Name}
}

// Position returns the file and line that Parse read the record from. It
// returns the zero value for a record that Parse did not create.
func (r Record) Position() Position {
	return r.position
}

// Position identifies a line of a file.
type Position struct {
	File string
	Line int
}

// String returns the position in the form file:line. It returns the empty
// string for the zero value.
func (p Position) String() string {
	if p.File == "" {
		return ""
	}
	return fmt.Sprintf("%s:%d", p.File, p.Line)
}

// ID identifies a record. Two records with the same ID are variants of one
// record; see Set.Variants.
type ID struct {
	Kind Kind
	Name string
}

// String returns the ID in the form kind/name.
func (id ID) String() string {
	return string(id.Kind) + "/" + id.Name
}

// ParseID parses the form that ID.String returns. It does not check that the
// kind is known. If s contains no slash, all of s becomes the kind and the
// name is empty.
func ParseID(s string) ID {
	kind, name, _ := strings.Cut(s, "/")
	return ID{Kind(kind), name}
}

// Kind is the kind of a record, as written under the kind key.
type Kind string

// The kinds of records.
const (
	KindTeam          Kind = "team"
	KindDeployment    Kind = "deployment"
	KindRoutingPolicy Kind = "routing-policy"
	KindBackendServer Kind = "backend-server"
)

// Kinds returns all kinds. A kind comes after the kinds that its records refer
// to.
func Kinds() []Kind {
	return []Kind{KindTeam, KindRoutingPolicy, KindDeployment, KindBackendServer}
}

// Spec is the content of a record under the spec key: a Team, Deployment,
// RoutingPolicy or BackendServer, or the unparsed content of a record whose
// kind or schema version is unknown.
type Spec interface {
	kind() Kind
	problems() []problem
}

// Team is a group of callers that share API keys, rate limits and a weight in
// the request queues.
type Team struct {
	KeySHA256         []string // Lower-case hex SHA-256 digests of the team's API keys.
	Weight            int      // Weight in the fair queues of the sidecars; 0 means 1.
	Priority          int      // Queue priority; requests with a lower value run first.
	RequestsPerSecond float64  // Rate limit; 0 means no limit.
	TokensPerSecond   float64  // Rate limit; 0 means no limit.
	Concurrency       int      // Maximum number of requests in flight; 0 means no limit.
	Operator          bool     // Whether the team's keys grant access to the operator API.
}

func (Team) kind() Kind { return KindTeam }

// Deployment is a model or a plain HTTP service that callers address by name.
type Deployment struct {
	Type          DeploymentType
	Model         string
	Versions      []Version
	RoutingPolicy string
	Teams         []string // Names of the teams that may use the deployment; empty means all teams.
	NonIdempotent []string // Path prefixes of a service under which a call must not be run twice.
}

func (Deployment) kind() Kind { return KindDeployment }

// DeploymentType tells whether a deployment serves a model or a plain service.
type DeploymentType string

// The types of deployments.
const (
	TypeModel   DeploymentType = "model"
	TypeService DeploymentType = "service"
)

// Version is one version of a deployment's weights. In each availability zone
// that some version lists, the versions that list it share the backend
// servers. The versions that list no zone share the backend servers of all
// other zones.
type Version struct {
	Weights           string   `json:"weights" yaml:"weights"`
	Share             int      `json:"share" yaml:"share"`                                               // Percentage of the backend servers.
	AvailabilityZones []string `json:"availability-zones,omitempty" yaml:"availability-zones,omitempty"` // Empty for all zones that no version lists.
}

// RoutingPolicy determines how a router chooses the backend server for a
// request and how long it keeps trying. The zero value of a limit selects the
// router's default unless noted otherwise.
type RoutingPolicy struct {
	Policy Policy
	// RecomputeWeight and WaitWeight weigh the two parts of a request's
	// estimated cost on a backend server: the time to compute the prompt
	// tokens that are not cached there, and the time to wait in the queue. If
	// both are 0, both count as 1.
	RecomputeWeight float64
	WaitWeight      float64
	// MaxAttempts is the maximum number of attempts, including the first one
	// and hedges. When a router decides on a retry, it does not count attempts
	// that were declined because of their cost, and one attempt for each time
	// that it selected the version of the weights again. Attempts that were
	// declined because the backend server was unavailable count.
	MaxAttempts  int
	Deadline     time.Duration // Maximum time for a request, including retries.
	HedgeAfter   time.Duration // Time without output after which a second attempt starts; 0 disables hedging.
	MaxQueueWait time.Duration // Longest expected wait in a queue before a backend server rejects the request; 0 means no limit.
}

func (RoutingPolicy) kind() Kind { return KindRoutingPolicy }

// Policy is the algorithm by which a router chooses a backend server.
type Policy string

// The routing algorithms.
const (
	PolicyCacheAware  Policy = "cache-aware"
	PolicyRoundRobin  Policy = "round-robin"
	PolicyLeastLoaded Policy = "least-loaded"
	PolicyPrefixHash  Policy = "prefix-hash"
)

// BackendServer is one server of a deployment, which receives requests through
// its sidecar.
type BackendServer struct {
	Deployment       string
	Address          string // IP address and port of the sidecar.
	AvailabilityZone string
	Drain            bool // Whether the server should finish its requests and receive no new ones.
	HonoursFence     bool // Whether the server rejects orders that carry an outdated fencing token.
}

func (BackendServer) kind() Kind { return KindBackendServer }
