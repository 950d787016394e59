// Package amrroute maps requests of callers to pools of backend servers.
//
// A Table is built from one version of the operators' configuration and is
// immutable. It finds the route of a request, the pool to which the request
// goes and the team of an API key.
package amrroute

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

// Table is an immutable routing table. Use New to create one; the zero value
// has no routes.
type Table struct {
	version     int64
	hosts       map[string][]*Route // Routes by host in lower case, those with the longest prefix first.
	pools       map[string]*Pool    // Pools by name.
	keys        map[string]*Team    // Teams by API key.
	keyRequired bool                // Whether routes that are not public require a key.
	limits      Limits
	precedences []precedence // In order.
	stores      []CacheStore
	quotas      map[string]Quota // Quotas that limit a team, by the team's name.
}

// Records is one version of the routing configuration declared by the
// operators.
type Records struct {
	Version int64
	Routes  []Route
	Pools   []Pool
	Teams   []Team
	Limits  Limits
	Stores  []CacheStore
}

// CacheStore is a store of cached prompt parts. Engines save parts to it and
// fetch them from it.
type CacheStore struct {
	Name             string
	Address          string
	AvailabilityZone string
}

// Route specifies how requests to a host and path prefix are handled.
type Route struct {
	Name        string
	Host        string // Host name; upper and lower case are equivalent.
	Prefix      string // Prefix of the path; begins and ends with a slash.
	Kind        Kind
	Timeout     time.Duration // Maximum time from the arrival of a request to the end of its answer.
	LatencyGoal time.Duration // Time within which an answer counts as on time.
	StartLimit  time.Duration // Time after which callers abandon a stream whose first event has not arrived; 0 if unknown.
	Priority    int           // Priority of requests; 0 is the most urgent.
	Targets     []Target      // Pools among which requests are split.
	MaxServers  int           // Maximum number of backend servers that may run one request.
	Public      bool          // Whether requests need no key.
	HasPrompt   bool          // Whether requests carry a prompt in parts.
	Resumable   bool          // Whether another backend server can continue an interrupted stream.
}

// Kind specifies whether requests of a route may be repeated.
type Kind int

// The kinds of routes.
const (
	Once       Kind = iota // A request runs at most once.
	Idempotent             // A request may run more than once.
	Stream                 // The response is an event stream. A request runs at most once unless the route is resumable.
)

// Repeatable reports whether a request may be sent again after a backend server
// may have run it.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Target is a pool with its share of a route's requests.
type Target struct {
	Pool   string
	Weight int // Share relative to the weights of the route's other targets.
}

// Pool is a set of interchangeable backend servers.
type Pool struct {
	Name   string
	Engine *Engine // Nil if the servers are not model engines but a plain service.
}

// Engine describes the model engines of a pool.
type Engine struct {
	Slots       int      // Number of requests that an engine runs concurrently.
	CacheTokens int      // Memory of an engine for running requests and cached prompt parts, in tokens.
	Models      []string // Names of the models that the engines serve.
}

// Team is a group of callers who share API keys.
type Team struct {
	Name     string
	Keys     []string
	Priority *int // Priority that replaces that of the route; nil for no replacement.
	Isolated bool // Whether cached prompt parts must not be shared with other teams.
	Quota    Quota
}

// Quota limits the requests of a team over all routers. The zero value is no limit.
type Quota struct {
	PerSecond   float64 // Requests or tokens per second; 0 for no limit.
	Burst       float64 // Requests or tokens beyond PerSecond.
	InTokens    bool    // Whether PerSecond and Burst are in tokens rather than requests.
	PlainTokens int     // With InTokens: tokens of a request that states none.
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool {
	return q.PerSecond > 0
}

// Weight returns what a request with the number of tokens counts towards the quota. A
// request that states no tokens has 0.
func (q Quota) Weight(tokens int) float64 {
	switch {
	case !q.InTokens:
		return 1
	case tokens == 0:
		return float64(q.PlainTokens)
	}
	return float64(tokens)
}

// Limits holds the limits of callers' requests and connections.
type Limits struct {
	HeaderBytes   int           // Maximum size of the header.
	BodyBytes     int64         // Maximum size of the body.
	HeaderTimeout time.Duration // Maximum time to receive the header.
	IdleTimeout   time.Duration // Maximum time between two requests on a connection.
}

// New returns the routing table for the records.
func New(records Records) *Table {
	t := &Table{
		version:     records.Version,
		hosts:       make(map[string][]*Route),
		pools:       make(map[string]*Pool),
		keys:        make(map[string]*Team),
		keyRequired: len(records.Teams) > 0,
		limits:      records.Limits,
		stores:      records.Stores,
		precedences: records.precedences(),
		quotas:      make(map[string]Quota),
	}
	for i := range records.Routes {
		r := &records.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range records.Pools {
		t.pools[records.Pools[i].Name] = &records.Pools[i]
	}
	for i := range records.Teams {
		if team := &records.Teams[i]; team.Quota.Limited() {
			t.quotas[team.Name] = team.Quota
		}
		for _, key := range records.Teams[i].Keys {
			t.keys[key] = &records.Teams[i]
		}
	}
	return t
}

// Version returns the version of the records from which the table was built.
func (t *Table) Version() int64 {
	return t.version
}

// Limits returns the limits of callers' requests and connections.
func (t *Table) Limits() Limits {
	return t.limits
}

// Stores returns the stores of cached prompt parts.
func (t *Table) Stores() []CacheStore {
	return t.stores
}

// Quotas returns the quotas that limit teams, by the names of the teams.
func (t *Table) Quotas() map[string]Quota {
	return t.quotas
}

// Pool returns the named pool, or nil if it is not declared.
func (t *Table) Pool(name string) *Pool {
	return t.pools[name]
}

// Models returns the names of the pools that serve each model, by name of the
// model.
func (t *Table) Models() map[string][]string {
	models := make(map[string][]string)
	for _, p := range t.pools {
		if p.Engine == nil {
			continue
		}
		for _, m := range p.Engine.Models {
			models[m] = append(models[m], p.Name)
		}
	}
	return models
}

// Match returns the route with the longest prefix of the path among the routes
// of the host, or nil if there is none. If no route names the host with its
// port, the port is ignored.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := t.hosts[host]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		routes = t.hosts[name]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Team returns the team of the key and whether a request with the key is
// allowed on the route. It returns nil and true if a request without a team is
// allowed, because no teams are declared or because the route is public.
func (t *Table) Team(route *Route, key string) (*Team, bool) {
	if !t.keyRequired {
		return nil, true
	}
	team := t.keys[key]
	if team == nil && route.Public {
		return nil, true
	}
	return team, team != nil
}

// PoolOf returns the name of the pool for the request with the ID, or an empty
// string if the route has no targets. Pools get shares of the IDs according to
// the weights of the targets, and the same ID always gets the same pool. If no
// weight is positive, all IDs get the pool of the first target.
func (r *Route) PoolOf(id string) string {
	total := 0
	for _, target := range r.Targets {
		total += max(target.Weight, 0)
	}
	if total == 0 {
		if len(r.Targets) == 0 {
			return ""
		}
		return r.Targets[0].Pool
	}
	bucket := int(xxh3.HashString(id) % uint64(total))
	for _, target := range r.Targets {
		bucket -= max(target.Weight, 0)
		if bucket < 0 {
			return target.Pool
		}
	}
	return r.Targets[len(r.Targets)-1].Pool
}

// Problems returns a description of each target whose pool is not declared and
// of each route without targets.
func (r Records) Problems() []string {
	declared := make(map[string]bool, len(r.Pools))
	for _, p := range r.Pools {
		declared[p.Name] = true
	}
	var problems []string
	for _, route := range r.Routes {
		for _, target := range route.Targets {
			if !declared[target.Pool] {
				problems = append(problems, "route "+route.Name+" has the undeclared pool "+target.Pool+" as a target")
			}
		}
		if len(route.Targets) == 0 {
			problems = append(problems, "route "+route.Name+" has no targets")
		}
	}
	return problems
}
