package amrsite

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Tables of a Store, and keys in the table of the operator.
const (
	operatorTable = "op"       // Written by operators.
	serversTable  = "servers"  // The server list; each backend server writes its own entry.
	configKey     = "config"   // The configuration of the routers.
	versionPrefix = "version/" // Precedes the name of a model in the key of the target version of its weights.
)

// Pools of backend servers, and routes to them, in the configuration that
// PutConfig writes.
const (
	EnginePool  = "engines" // Pool of engines.
	ServicePool = "app"     // Pool of plain services.

	NonIdempotentRoute   = "once"  // Route to ServicePool for non-idempotent requests, which must not run twice.
	IdempotentRoute      = "find"  // Route to ServicePool for idempotent requests, which may run again.
	StreamRoute          = "tag"   // Route to EnginePool for streams that cannot be resumed.
	ResumableStreamRoute = "reply" // Route to EnginePool for streams that can be resumed.
	PatientStreamRoute   = "long"  // The same with patientTimeout.
)

// SettingsVariable is the environment variable that holds the path of a router's
// settings file.
const SettingsVariable = "AMARANTHREACH_BOOT"

// ReadyPath is the path of a router's readiness check.
const ReadyPath = "/amaranthreach/ready"

// Host is the host name in the requests to the routes that PutConfig writes.
const Host = "shop.example"

// MaxBodyBytes is the maximum size of a request body in the configuration that
// PutConfig writes, unless SetMaxBodyBytes has set another one.
const MaxBodyBytes = 1000

// Team is the name of the first team in the configuration that PutConfig writes.
const Team = "recife"

const (
	routeTimeout   = 2 * time.Second
	patientTimeout = 15 * time.Second       // Timeout of PatientStreamRoute.
	routeGoal      = 500 * time.Millisecond // Target latency of a request.
	maxAttempts    = 2                      // Maximum number of servers that a request is sent to.
	slots          = 8                      // Maximum number of concurrent requests at a server.
)

// EngineMemory is the memory of an engine in tokens, in the configuration that PutConfig
// writes.
const EngineMemory = 100_000

// Entry describes a backend server in the server list.
type Entry struct {
	Service string      `json:"service"`
	Address string      `json:"addr"`
	Zone    string      `json:"zone"`
	Version string      `json:"version"` // Version of the software, not of the weights.
	Slots   int         `json:"slots"`
	State   string      `json:"state"`
	Seq     int         `json:"seq"`  // Number of the heartbeat.
	Born    int64       `json:"born"` // Start time in Unix milliseconds.
	Models  []ModelInfo `json:"models,omitempty"`
}

// ModelInfo identifies the version of a model's weights that a server has loaded.
type ModelInfo struct {
	Name    string `json:"name"`
	Version int    `json:"version"`
}

// NewEntry returns the entry of a server that is ready and belongs to the pool. The
// model is the one that an engine serves, or "" for a plain service.
func NewEntry(pool, address, model string, born time.Time) Entry {
	e := Entry{Service: pool, Address: address, Zone: "zone-a", Version: "v1", Slots: slots, State: "ready", Seq: 1, Born: born.UnixMilli()}
	if model != "" {
		e.Models = []ModelInfo{{Name: model, Version: 1}}
	}
	return e
}

// WithDraining returns a copy of the entry with the state that a server has before
// a planned stop, in which it accepts no new requests.
func (e Entry) WithDraining() Entry {
	e.State = "draining"
	return e
}

// WithSoftware returns a copy of the entry with the version of the server's software.
func (e Entry) WithSoftware(version string) Entry {
	e.Version = version
	return e
}

// WithWeights returns a copy of the entry of an engine with the version of its weights.
func (e Entry) WithWeights(version int) Entry {
	models := slices.Clone(e.Models)
	for i := range models {
		models[i].Version = version
	}
	e.Models = models
	return e
}

// PutServer writes the entry of the server to the server list.
func (s *Store) PutServer(server string, e Entry) {
	s.putJSON(serversTable, server, e)
}

// DeleteServer removes the entry of the server from the server list.
func (s *Store) DeleteServer(server string) {
	s.Delete(serversTable, server)
}

type routeJSON struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"prefix"`
	Kind      string `json:"kind"`
	TimeoutMs int64  `json:"timeoutMs"`
	GoalMs    int64  `json:"goalMs"`
	Priority  int    `json:"priority"`
	Service   string `json:"service"`
	Attempts  int    `json:"attempts"`
	Resumable bool   `json:"resumable"`
	Sticky    bool   `json:"sticky"`
}

type engineJSON struct {
	Slots      int         `json:"slots"`
	KVCapacity int         `json:"kvCapacity"`
	Models     []ModelInfo `json:"models"`
}

type serviceJSON struct {
	Name   string      `json:"name"`
	Engine *engineJSON `json:"engine,omitempty"`
}

type limitsJSON struct {
	HeaderBytes     int   `json:"headerBytes"`
	MaxBodyBytes    int   `json:"maxBodyBytes"`
	HeaderTimeoutMs int64 `json:"headerTimeoutMs"`
	IdleMs          int64 `json:"idleMs"`
}

type teamJSON struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"apiKeys"`
	Isolated bool     `json:"isolated"`
	Quota
}

// Quota limits the requests of a team over all routers. The zero value is no limit.
type Quota struct {
	RatePerS    float64 `json:"ratePerS,omitempty"`
	Burst       float64 `json:"burst,omitempty"`
	Unit        string  `json:"unit,omitempty"` // "tokens", or else requests are counted.
	PlainTokens int     `json:"plainTokens,omitempty"`
}

type configJSON struct {
	Version  int           `json:"version"`
	Routes   []routeJSON   `json:"routes"`
	Services []serviceJSON `json:"services"`
	Limits   limitsJSON    `json:"limits"`
	Tenants  []teamJSON    `json:"tenants"`
}

// PutConfig writes a configuration with the version number: five routes to two
// pools, one of them with engines for the model, and one team with the API keys.
func (s *Store) PutConfig(version int, model string, keys ...string) {
	s.PutConfigWithQuota(version, model, Quota{}, keys...)
}

// PutConfigWithQuota writes the same configuration with a quota of the team.
func (s *Store) PutConfigWithQuota(version int, model string, quota Quota, keys ...string) {
	s.PutConfigWithTeams(version, model, TeamEntry{Name: Team, Keys: keys, Quota: quota})
}

// TeamEntry describes a team in the configuration.
type TeamEntry struct {
	Name  string
	Keys  []string
	Quota Quota
}

// PutConfigWithTeams writes the same configuration with the teams.
func (s *Store) PutConfigWithTeams(version int, model string, teams ...TeamEntry) {
	tenants := make([]teamJSON, len(teams))
	for i, t := range teams {
		tenants[i] = teamJSON{Name: t.Name, APIKeys: t.Keys, Isolated: true, Quota: t.Quota}
	}
	v := s.currentVariation()
	s.putJSON(operatorTable, configKey, configJSON{
		Version: version,
		Routes: v.vary([]routeJSON{
			newRoute(NonIdempotentRoute, "non_idempotent", ServicePool), newRoute(IdempotentRoute, "idempotent", ServicePool),
			newRoute(StreamRoute, "stream", EnginePool), newRoute(ResumableStreamRoute, "stream", EnginePool),
			newRoute(PatientStreamRoute, "stream", EnginePool),
		}),
		Services: []serviceJSON{
			{Name: EnginePool, Engine: &engineJSON{Slots: slots, KVCapacity: EngineMemory, Models: []ModelInfo{{Name: model}}}},
			{Name: ServicePool},
		},
		Limits:  limitsJSON{HeaderBytes: 16 << 10, MaxBodyBytes: s.currentMaxBodyBytes(), HeaderTimeoutMs: 3000, IdleMs: cmp.Or(v.IdleTimeout, defaultIdleTimeout).Milliseconds()},
		Tenants: tenants,
	})
}

// Variation is what changes between configurations without an effect on the answers to
// requests. The zero value selects the defaults.
type Variation struct {
	IdleTimeout  time.Duration // For which clients may keep a connection without a request.
	RouteTimeout time.Duration // Of all routes but PatientStreamRoute.
	ExtraRoutes  int           // Number of routes that nobody uses.
	Attempts     int           // Of each route.
}

// defaultIdleTimeout is the idle timeout in configurations, unless a Variation sets another.
const defaultIdleTimeout = 15 * time.Second

// SetVariation sets what differs in the configurations that are written from now on.
func (s *Store) SetVariation(v Variation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.variation = v
}

func (s *Store) currentVariation() Variation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.variation
}

// vary returns the routes with the variation.
func (v Variation) vary(routes []routeJSON) []routeJSON {
	for i := range routes {
		if routes[i].Name != PatientStreamRoute {
			routes[i].TimeoutMs = cmp.Or(v.RouteTimeout.Milliseconds(), routes[i].TimeoutMs)
		}
		routes[i].Attempts = cmp.Or(v.Attempts, routes[i].Attempts)
	}
	for i := range v.ExtraRoutes {
		extra := newRoute(IdempotentRoute, "idempotent", ServicePool)
		extra.Name = fmt.Sprintf("extra-%d", i)
		extra.Prefix = "/" + extra.Name + "/"
		routes = append(routes, extra)
	}
	return routes
}

// SetMaxBodyBytes sets the maximum size of a request body in the configurations that are
// written from now on.
func (s *Store) SetMaxBodyBytes(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxBodyBytes = n
}

func (s *Store) currentMaxBodyBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return cmp.Or(s.maxBodyBytes, MaxBodyBytes)
}

// PutMalformedRows writes malformed rows to the server list and to the target
// versions of weights.
func (s *Store) PutMalformedRows() {
	s.Put(serversTable, "ghost", []byte(`{"service":7}`))
	s.Put(operatorTable, versionPrefix+"ghost", []byte("no version"))
}

// newRoute returns a route for the paths that start with its name.
func newRoute(name, kind, pool string) routeJSON {
	timeout := routeTimeout
	if name == PatientStreamRoute {
		timeout = patientTimeout
	}
	return routeJSON{
		Name: name, Host: Host, Prefix: "/" + name + "/", Kind: kind, TimeoutMs: timeout.Milliseconds(), GoalMs: routeGoal.Milliseconds(),
		Priority: 1, Service: pool, Attempts: maxAttempts, Resumable: name == ResumableStreamRoute || name == PatientStreamRoute, Sticky: pool == EnginePool,
	}
}

// PublishVersion writes the version as the target version of the model's weights.
func (s *Store) PublishVersion(model string, version int) {
	s.putJSON(operatorTable, versionPrefix+model, struct {
		Model   string `json:"model"`
		Version int    `json:"version"`
	}{model, version})
}

func (s *Store) putJSON(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // The types above can always be marshaled.
	}
	s.Put(table, key, data)
}
