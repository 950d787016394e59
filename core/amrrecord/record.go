// Package amrrecord defines the records by which operators drive the system:
// teams, deployments, routing policies and backend servers.
package amrrecord

import "time"

// Record is one declaration of an operator.
type Record struct {
	Name          string
	SchemaVersion int
	Spec          Spec
}

// Kind returns the kind of the record.
func (r Record) Kind() Kind {
	return r.Spec.kind()
}

// ID returns the identity of the record.
func (r Record) ID() ID {
	return ID{Kind: r.Kind(), Name: r.Name}
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

// Kind names a kind of record.
type Kind string

// The kinds of records.
const (
	KindTeam          Kind = "team"
	KindDeployment    Kind = "deployment"
	KindRoutingPolicy Kind = "routing-policy"
	KindBackendServer Kind = "backend-server"
)

// Spec is the content of a record: a Team, Deployment, RoutingPolicy or
// BackendServer.
type Spec interface {
	kind() Kind
}

// Team is a group of callers with keys, limits and a share of the queues.
type Team struct {
	KeySHA256         []string `yaml:"key-sha256"` // Hex digests of the bearer keys.
	Weight            int      `yaml:"weight"`     // Share in the queues; 0 means 1.
	Priority          int      `yaml:"priority"`   // Lower runs first.
	RequestsPerSecond float64  `yaml:"requests-per-second"`
	TokensPerSecond   float64  `yaml:"tokens-per-second"`
	Concurrency       int      `yaml:"concurrency"` // Requests in flight; 0 for no limit.
	Operator          bool     `yaml:"operator"`    // The keys may use the operators' interface.
}

func (Team) kind() Kind { return KindTeam }

// Deployment is a model or a plain service that callers name in requests.
type Deployment struct {
	Type          DeploymentType `yaml:"type"`
	Model         string         `yaml:"model"`
	Versions      []Version      `yaml:"versions"`
	RoutingPolicy string         `yaml:"routing-policy"`
	Teams         []string       `yaml:"teams"`          // Teams that may use it; empty for all.
	NonIdempotent []string       `yaml:"non-idempotent"` // Path prefixes of a service whose calls may not be repeated.
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
	Weights           string   `yaml:"weights"`
	Share             int      `yaml:"share"` // In percent.
	AvailabilityZones []string `yaml:"availability-zones"`
}

// RoutingPolicy says how backend servers are chosen.
type RoutingPolicy struct {
	Policy          Policy        `yaml:"policy"`
	RecomputeWeight float64       `yaml:"recompute-weight"`
	WaitWeight      float64       `yaml:"wait-weight"`
	MaxAttempts     int           `yaml:"max-attempts"`
	Deadline        time.Duration `yaml:"deadline"`
	HedgeAfter      time.Duration `yaml:"hedge-after"` // 0 for no hedging.
	MaxQueueWait    time.Duration `yaml:"max-queue-wait"`
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
	Deployment       string `yaml:"deployment"`
	Address          string `yaml:"address"` // IP address and port of the sidecar.
	AvailabilityZone string `yaml:"availability-zone"`
	Drain            bool   `yaml:"drain"`
	HonoursFence     bool   `yaml:"honours-fence"`
}

func (BackendServer) kind() Kind { return KindBackendServer }
