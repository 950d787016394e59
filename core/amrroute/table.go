// Package amrroute maps requests of callers to pools of backend servers.
//
// A Table is built from one version of the operators' records and never
// changes. It answers which route a request takes, which pool it goes to and
// which team a key belongs to.
package amrroute

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

// Table is one version of the routes, pools and teams. The zero value has none.
type Table struct {
	version int64
	hosts   map[string][]*Route // Longest prefix first.
	pools   map[string]*Pool
	keys    map[string]*Team // Team by its key.
	teams   bool             // Callers need a key.
	limits  Limits
	stores  []CacheStore
}

// Records are what a Table is built from.
type Records struct {
	Version int64
	Routes  []Route
	Pools   []Pool
	Teams   []Team
	Limits  Limits
	Stores  []CacheStore
}

// CacheStore is a store of cached prompt parts that engines save to and fetch
// from.
type CacheStore struct {
	Name             string
	Address          string
	AvailabilityZone string
}

// Route says how requests to a host and path prefix are handled.
type Route struct {
	Name       string
	Host       string
	Prefix     string // Begins and ends with a slash.
	Kind       Kind
	Timeout    time.Duration // Longest time a request may be kept without its answer.
	Goal       time.Duration // Time within which an answer is on time.
	Priority   int           // 0 is the most urgent.
	Targets    []Target
	MaxServers int  // Backend servers that may run one request.
	Public     bool // Needs no key.
	Prompted   bool // Requests carry a prompt in parts.
	Resumable  bool // A broken stream may go on at another backend server.
}

// Kind says what may be repeated.
type Kind int

// The kinds of routes.
const (
	Once       Kind = iota // Runs at most once.
	Idempotent             // May run more than once.
	Stream                 // Runs at most once unless it is resumable; answers in events.
)

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Target is a pool with its share of a route's requests.
type Target struct {
	Pool   string
	Weight int
}

// Pool is a set of interchangeable backend servers.
type Pool struct {
	Name   string
	Engine *Engine // Nil for plain services.
}

// Engine describes the model engines of a pool.
type Engine struct {
	Slots       int      // Requests that run at once.
	CacheTokens int      // Memory for running requests and cached parts.
	Models      []string // Names of the models they serve.
}

// Team is a body whose callers share keys.
type Team struct {
	Name     string
	Keys     []string
	Priority *int // Replaces the route's; nil for none.
	Isolated bool // Shares no cached prompt parts with other teams.
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// New returns the table of the records.
func New(records Records) *Table {
	t := &Table{
		version: records.Version,
		hosts:   make(map[string][]*Route),
		pools:   make(map[string]*Pool),
		keys:    make(map[string]*Team),
		teams:   len(records.Teams) > 0,
		limits:  records.Limits,
		stores:  records.Stores,
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
		for _, key := range records.Teams[i].Keys {
			t.keys[key] = &records.Teams[i]
		}
	}
	return t
}

// Version returns the version of the records.
func (t *Table) Version() int64 {
	return t.version
}

// Limits returns the bounds on what callers may send.
func (t *Table) Limits() Limits {
	return t.limits
}

// Stores returns the stores of cached prompt parts.
func (t *Table) Stores() []CacheStore {
	return t.stores
}

// Pool returns the pool of the name, or nil.
func (t *Table) Pool(name string) *Pool {
	return t.pools[name]
}

// Models returns the names of all models that engines serve, with the pools
// that serve each.
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

// Match returns the route with the longest prefix of the path among those of
// the host, or nil. The host may have a port.
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

// Team returns the team of the key. It returns nil and true where callers need
// none.
func (t *Table) Team(route *Route, key string) (*Team, bool) {
	if !t.teams {
		return nil, true
	}
	team := t.keys[key]
	if team == nil && route.Public {
		return nil, true
	}
	return team, team != nil
}

// PoolOf returns the name of the pool that the request with the id goes to.
// Pools get their shares of the ids, and an id always gets the same.
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
	point := int(xxh3.HashString(id) % uint64(total))
	for _, target := range r.Targets {
		point -= max(target.Weight, 0)
		if point < 0 {
			return target.Pool
		}
	}
	return r.Targets[len(r.Targets)-1].Pool
}

// Problems returns a sentence for each route whose pool is not declared.
func (r Records) Problems() []string {
	declared := make(map[string]bool, len(r.Pools))
	for _, p := range r.Pools {
		declared[p.Name] = true
	}
	var problems []string
	for _, route := range r.Routes {
		for _, target := range route.Targets {
			if !declared[target.Pool] {
				problems = append(problems, "route "+route.Name+" goes to pool "+target.Pool+", which is not declared")
			}
		}
		if len(route.Targets) == 0 {
			problems = append(problems, "route "+route.Name+" goes to no pool")
		}
	}
	return problems
}
