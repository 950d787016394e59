package amrsite

import (
	"encoding/json"
	"time"
)

// The names under which a Store keeps what operators and backend servers
// write.
const (
	operatorTable = "op"
	serversTable  = "servers"
	configKey     = "config"
	versionPrefix = "version/"
)

// The pools and routes of a site.
const (
	Engines = "engines" // A pool of engines.
	App     = "app"     // A pool of plain services.

	Once  = "once"  // A route to App whose requests may run once.
	Find  = "find"  // A route to App whose requests may run again.
	Tag   = "tag"   // A route of streams to Engines that may not be resumed.
	Reply = "reply" // A route of streams to Engines that may be resumed.
)

// SettingsVariable is the environment variable with the path of a router's
// settings file.
const SettingsVariable = "AMARANTHREACH_BOOT"

// ReadyPath is the path at which a router tells whether it is ready.
const ReadyPath = "/amaranthreach/ready"

// Host is the host name that callers of a site ask for.
const Host = "shop.example"

// BodyBytes is the size of the largest body that the records allow.
const BodyBytes = 1000

// Team is the team that holds the keys of a site.
const Team = "recife"

const (
	routeTimeout = 2 * time.Second
	routeGoal    = 500 * time.Millisecond
	maxAttempts  = 2 // Servers for one request.
	slots        = 8 // Requests at once at a server.
	cacheTokens  = 100_000
)

// Entry is the entry of a backend server in the server list.
type Entry struct {
	Service string      `json:"service"`
	Address string      `json:"addr"`
	Zone    string      `json:"zone"`
	Version string      `json:"version"` // Of the software, not of weights.
	Slots   int         `json:"slots"`
	State   string      `json:"state"`
	Seq     int         `json:"seq"`  // Counts heartbeats.
	Born    int64       `json:"born"` // Start, in Unix milliseconds.
	Models  []ModelInfo `json:"models,omitempty"`
}

// ModelInfo names the weights that a server has loaded.
type ModelInfo struct {
	Name    string `json:"name"`
	Version int    `json:"version"`
}

// NewEntry returns the entry of a server of the pool that is ready. The model
// is empty for a plain service.
func NewEntry(pool, address, model string, born time.Time) Entry {
	e := Entry{Service: pool, Address: address, Zone: "zone-a", Version: "v1", Slots: slots, State: "ready", Seq: 1, Born: born.UnixMilli()}
	if model != "" {
		e.Models = []ModelInfo{{Name: model, Version: 1}}
	}
	return e
}

// WithDraining returns the entry of the server before a planned stop.
func (e Entry) WithDraining() Entry {
	e.State = "draining"
	return e
}

// List writes the entry of the server.
func (s *Store) List(server string, e Entry) {
	s.putJSON(serversTable, server, e)
}

// Unlist drops the entry of the server.
func (s *Store) Unlist(server string) {
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
}

type configJSON struct {
	Version  int           `json:"version"`
	Routes   []routeJSON   `json:"routes"`
	Services []serviceJSON `json:"services"`
	Limits   limitsJSON    `json:"limits"`
	Tenants  []teamJSON    `json:"tenants"`
}

// Configure writes the version of the configuration: four routes to two pools
// and one team with the keys.
func (s *Store) Configure(version int, model string, keys ...string) {
	s.putJSON(operatorTable, configKey, configJSON{
		Version: version,
		Routes: []routeJSON{
			newRoute(Once, "non_idempotent", App), newRoute(Find, "idempotent", App),
			newRoute(Tag, "stream", Engines), newRoute(Reply, "stream", Engines),
		},
		Services: []serviceJSON{
			{Name: Engines, Engine: &engineJSON{Slots: slots, KVCapacity: cacheTokens, Models: []ModelInfo{{Name: model}}}},
			{Name: App},
		},
		Limits:  limitsJSON{HeaderBytes: 16 << 10, MaxBodyBytes: BodyBytes, HeaderTimeoutMs: 3000, IdleMs: 15000},
		Tenants: []teamJSON{{Name: Team, APIKeys: keys, Isolated: true}},
	})
}

// PutGarbage writes rows that nobody can read beside those of servers and
// versions.
func (s *Store) PutGarbage() {
	s.Put(serversTable, "ghost", []byte(`{"service":7}`))
	s.Put(operatorTable, versionPrefix+"ghost", []byte("no version"))
}

func newRoute(name, kind, pool string) routeJSON {
	return routeJSON{
		Name: name, Host: Host, Prefix: "/" + name + "/", Kind: kind, TimeoutMs: routeTimeout.Milliseconds(), GoalMs: routeGoal.Milliseconds(),
		Priority: 1, Service: pool, Attempts: maxAttempts, Resumable: name == Reply, Sticky: pool == Engines,
	}
}

// NameVersion writes that the version of the model's weights is to be used.
func (s *Store) NameVersion(model string, version int) {
	s.putJSON(operatorTable, versionPrefix+model, struct {
		Model   string `json:"model"`
		Version int    `json:"version"`
	}{model, version})
}

func (s *Store) putJSON(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // The types above have no such values.
	}
	s.Put(table, key, data)
}
