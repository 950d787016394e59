package amrdirect

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrforward"
	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrroute"
)

// Ports are what a router needs of the platform that it runs on.
type Ports struct {
	Operator amrfollow.Source // Rows that operators write.
	Servers  amrfollow.Source // Rows that backend servers write.
	Shared   amrfollow.Source // Rows that the routers share.
	Rows     SharedRows
	Decoder  Decoder
	Backend  amrforward.Backend
	Orders   Orders
}

// SharedRows writes rows that the routers share.
type SharedRows interface {
	// Write applies the transaction and returns its version. Errors are of the
	// kinds of amrplatform: Conflict, Unavailable and OutcomeUnknown.
	Write(ctx context.Context, txn amrplatform.Txn) (version uint64, err error)

	// Read returns a row, or an error of kind NotFound.
	Read(ctx context.Context, key string) (amrplatform.Item, error)
}

// Decoder decodes the platform's rows.
type Decoder interface {
	// Operator decodes a row that an operator wrote. It returns nil for a row
	// that does not concern routers.
	Operator(row amrfollow.Row) (OperatorFact, error)

	// Server decodes a row that a backend server wrote.
	Server(row amrfollow.Row) (amrpool.Listing, error)
}

// OperatorFact is what an operator declared: Records or NewWeights.
type OperatorFact interface {
	operatorFact()
}

// Records are a whole new version of the records.
type Records amrroute.Records

// NewWeights name the version of a model's weights that its engines should
// hold.
type NewWeights struct {
	Model   string
	Version int
}

func (Records) operatorFact()    {}
func (NewWeights) operatorFact() {}

// Orders gives orders to engines.
type Orders interface {
	// Report returns the state of an engine, as of a moment ago.
	Report(ctx context.Context, address, server string) (EngineReport, error)

	// ChangeWeights orders an engine to load weights. A nil error says that it
	// does or already holds them. Errors are of kind OrderRefused,
	// WrongEngine or OrderUnknown.
	ChangeWeights(ctx context.Context, address string, order WeightsOrder) error
}

// EngineReport is the state of an engine.
type EngineReport struct {
	Version  map[string]int // Of each model's weights.
	Loading  bool           // An order is in progress.
	Accepted int            // Orders since its start.
	Running  int
	Waiting  int
}

// WeightsOrder is an order to load weights.
type WeightsOrder struct {
	Server   string
	Model    string
	Version  int
	Mode     LoadMode
	Host     string // That gives the order.
	Fence    uint64
	Accepted int // Orders that the engine must have accepted so far.
}

// LoadMode says what becomes of requests that run when weights change.
type LoadMode int

// The modes.
const (
	Finish LoadMode = iota // They finish first.
	Reset                  // They are broken off.
	Retain                 // They go on under the new weights.
)

var namespace = errorx.NewNamespace("direct")

// The kinds of errors of orders.
var (
	// OrderRefused says that the engine did not take the order: read its
	// report and decide anew.
	OrderRefused = namespace.NewType("order-refused")

	// WrongEngine says that another backend server has the address.
	WrongEngine = namespace.NewType("wrong-engine")

	// OrderUnknown says that the order may be carried out, now or later.
	OrderUnknown = namespace.NewType("order-unknown", errorx.Temporary())
)

// Bounds are the platform's bounds that decisions depend on.
type Bounds struct {
	LeaseHandover time.Duration // Least time between orders of two hosts.
	StaleAfter    time.Duration // Since weights were named, until older ones count as costly.
	StaleLimit    time.Duration // The same, until they may not be used.
	Silence       time.Duration // In which a connection to the tables that fell silent is to be noticed; 0 for a default.
	Retries       amrforward.RetryBounds
}
