package amrdirect

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrforward"
	"amaranthreach.example/core/amrlimit"
	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrroute"
)

// Dependencies holds the platform services that a Router depends on.
type Dependencies struct {
	Operator amrfollow.Source // The table that operators write.
	Servers  amrfollow.Source // The table that backend servers write.
	Shared   amrfollow.Source // The table that all routers read and write.
	Rows     SharedRows
	Streams  StreamRows // Nil if origins of streams are not kept in the store.
	Decoder  Decoder
	Backend  amrforward.Backend
	Engines  EngineClient
}

// SharedRows reads and writes single rows of the table that the routers share.
type SharedRows interface {
	// Write applies the transaction and returns the position of the table that
	// it created, with the table's clock. It returns an error of type amrplatform.Conflict,
	// amrplatform.Unavailable or amrplatform.OutcomeUnknown.
	Write(ctx context.Context, txn amrplatform.Txn) (amrfollow.Receipt, error)

	// Read returns the row with the key and the era of the table, or an error of
	// type amrplatform.NotFound or amrplatform.Unavailable.
	Read(ctx context.Context, key string) (item amrplatform.Item, era uint64, err error)
}

// StreamRows reads and writes rows of the table that keeps the origins of streams, which
// routers do not follow. The methods return the errors of SharedRows.
type StreamRows interface {
	SharedRows

	// Position returns the newest position of all tables, by a read: it is never one from
	// before the call.
	Position(ctx context.Context) (amrfollow.Position, error)

	// Page returns up to limit rows whose keys are from or greater, in ascending order
	// of their keys.
	Page(ctx context.Context, from string, limit int) ([]amrplatform.Item, error)
}

// Decoder decodes rows of the platform's tables.
type Decoder interface {
	// Operator decodes a row that an operator wrote. It returns nil for a row
	// that routers do not use.
	Operator(row amrfollow.Row) (OperatorDeclaration, error)

	// Server decodes a row that a backend server wrote.
	Server(row amrfollow.Row) (amrpool.Listing, error)
}

// OperatorDeclaration is a decoded declaration of an operator, either Records
// or TargetWeights.
type OperatorDeclaration interface {
	operatorDeclaration()
}

// Records is a complete version of the routing configuration, which replaces
// the one before it.
type Records amrroute.Records

// TargetWeights declares the version of a model's weights that the engines
// serving the model must load.
type TargetWeights struct {
	Model   string
	Version int
}

func (Records) operatorDeclaration()       {}
func (TargetWeights) operatorDeclaration() {}

// EngineClient queries model engines and orders them to load weights.
type EngineClient interface {
	// Report returns the state of the engine of the named backend server. The
	// state may be slightly out of date.
	Report(ctx context.Context, address, server string) (EngineReport, error)

	// ChangeWeights orders an engine to load weights. It calls permit
	// immediately before it sends the order, and sends nothing if that returns
	// an error. It returns nil if the engine accepted the order or already holds
	// the weights, and otherwise an error of type OrderRefused, WrongEngine or
	// OrderOutcomeUnknown.
	ChangeWeights(ctx context.Context, address string, order WeightsOrder, permit func() error) error
}

// EngineReport is the state of an engine as the engine itself reports it.
type EngineReport struct {
	Version  map[string]int // Version of the loaded weights by model.
	Loading  bool           // Whether the engine is loading weights.
	Accepted int            // Number of orders accepted since the engine started.
	Started  time.Time      // Identifies the incarnation; zero if the engine does not tell it.
	Running  int            // Number of requests that are running.
	Waiting  int            // Number of requests that are queued.
	Signals  amrpool.Signals
}

// WeightsOrder is an order to load a version of a model's weights.
type WeightsOrder struct {
	Server   string
	Model    string
	Version  int
	Mode     LoadMode
	Holder   string // Name of the host that holds the rollout lease and gives the order.
	Fence    uint64 // Fencing token of the rollout lease.
	Accepted int    // Required value of EngineReport.Accepted, so that an order is accepted at most once.
}

// LoadMode specifies how an engine treats running requests when it loads
// weights.
type LoadMode int

// The load modes.
const (
	FinishRequests LoadMode = iota // The engine completes running requests before it loads.
	AbortRequests                  // The engine aborts running requests.
	KeepRequests                   // The engine continues running requests with the new weights.
)

var namespace = errorx.NewNamespace("direct")

// Types of the errors that an EngineClient returns.
var (
	// OrderRefused reports that the engine did not accept the order. The caller
	// must read the engine's report before it orders again.
	OrderRefused = namespace.NewType("order-refused")

	// WrongEngine reports that another backend server answers at the address.
	WrongEngine = namespace.NewType("wrong-engine")

	// OrderOutcomeUnknown reports that the outcome of the order is unknown: the
	// engine may execute it, now or later.
	OrderOutcomeUnknown = namespace.NewType("order-unknown", errorx.Temporary())
)

// Bounds holds the limits that the platform sets for a router.
type Bounds struct {
	LeaseHandover time.Duration // Minimum time between orders of two hosts to one engine.
	StaleWeights  amrpool.StaleBounds
	DetectionTime time.Duration // Maximum time in which a dead connection to the operators' or the servers' table is detected; 0 selects a default.
	Quotas        amrlimit.Allowance
	Retries       amrforward.RetryBounds
}
