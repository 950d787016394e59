package amrdirect

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrplatform"
)

const (
	// registrationPrefix is the prefix of the keys of the shared rows in which
	// routers register.
	registrationPrefix = "router/"

	// registerRetryDelay is the mean delay before a failed registration is
	// retried.
	registerRetryDelay = 500 * time.Millisecond

	// firstReadWait is the time for which a router that starts waits for its first read of
	// the operators' table before it registers, so that the registration tells the time.
	firstReadWait = time.Second

	// registerSpread is the time for each router over which routers spread
	// registrations that all of them have to repeat.
	registerSpread = 5 * time.Millisecond

	// firstEra is the era of a store that was never restored. A store without eras has
	// era 0.
	firstEra = 1
)

// registration is the value of the row in which a router registers itself.
type registration struct {
	Address string `json:"address"` // Address at which the router serves its copies of tables.
	Notices string `json:"notices"` // Address at which the router receives notices.

	AvailabilityZone string  `json:"availability-zone,omitempty"`
	Capacity         float64 `json:"capacity,omitempty"` // Processing capacity of its host, relative to others.

	Reading *readingNote `json:"reading,omitempty"` // Of the tables' clock, from before the registration; nil if it was not known.

	First bool `json:"first,omitempty"` // No router has registered on the host before, as far as the table knows.
}

// registrar registers this router in the shared table, and again when the table
// has lost the registration because it was restored from an older copy.
type registrar struct {
	router *Router
	key    string
	missed chan struct{} // Signals that the table has lost the registration.

	mu         sync.Mutex
	value      registration
	registered bool
	era        uint64 // Era of the table in which the router registered.
}

func newRegistrar(r *Router) *registrar {
	value := registration{
		Address: r.settings.PeersAddress, Notices: r.settings.NoticesAddress,
		AvailabilityZone: r.settings.AvailabilityZone, Capacity: r.settings.Capacity, First: true,
	}
	return &registrar{router: r, key: registrationPrefix + r.settings.Host, value: value, missed: make(chan struct{}, 1)}
}

// encoded returns the value of the row.
func (g *registrar) encoded() []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	data, err := json.Marshal(g.value)
	if err != nil {
		panic(err) // Cannot happen for strings.
	}
	return data
}

// isFirst reports whether this router has registered, and no router has registered on its
// host before.
func (g *registrar) isFirst() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registered && g.value.First
}

// applyShared checks after an update of the shared table whether the registration
// was lost. A write that was acknowledged in an earlier era may be.
func (g *registrar) applyShared(u amrfollow.Update, rows *amrfollow.Copy) {
	g.mu.Lock()
	suspect := g.registered && g.era < u.Era
	g.mu.Unlock()
	if !suspect {
		return
	}
	if row, ok := rows.Row(g.key); ok && bytes.Equal(row.Value, g.encoded()) {
		g.setRegistered(u.Era)
		return
	}
	select {
	case g.missed <- struct{}{}:
	default: // A signal is already pending.
	}
}

func (g *registrar) setRegistered(era uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registered, g.era = true, max(g.era, era)
}

// run registers the router until ctx is done. It always returns nil.
func (g *registrar) run(ctx context.Context) error {
	g.awaitFirstRead(ctx)
	g.register(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.missed:
		}
		g.router.log.Info("the shared table has lost the registration of this router; registering again")
		g.setNotFirst()
		spread := time.Duration(g.router.routers.Load()) * registerSpread
		if g.router.rollout.sleep(ctx, time.Duration(rand.Int64N(int64(spread)))) != nil {
			return nil
		}
		g.register(ctx)
	}
}

// awaitFirstRead waits until the operators' table has been read from the store, for at most
// firstReadWait.
func (g *registrar) awaitFirstRead(ctx context.Context) {
	ctx, cancel := clockwork.WithTimeout(ctx, g.router.clock, firstReadWait)
	defer cancel()
	if err := g.router.copies.Followers[tableOperator].AwaitContact(ctx); err != nil {
		g.router.log.Warn("operators' table has not been read yet; registering without a reading of the clock", "err", err)
	}
}

// register writes the registration. It retries until the write has succeeded in the
// newest known era, or ctx is done. The first registration of a host says so.
func (g *registrar) register(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		position, err := g.router.deps.Rows.Write(callCtx, g.txn())
		cancel()
		if err == nil {
			g.router.observeEra(position.Era)
			g.setRegistered(position.Era)
			g.router.applySoftware()
		}
		if err == nil && position.Era >= g.router.era.Load() {
			return
		}
		g.setNotFirst() // A later write may meet the row of this one.
		if errorx.IsOfType(err, amrplatform.Conflict) {
			continue
		}
		g.router.log.Warn("cannot register this router; retrying", "era", position.Era, "err", err)
		if g.router.rollout.sleep(ctx, registerRetryDelay/2+time.Duration(rand.Int64N(int64(registerRetryDelay)))) != nil {
			return
		}
	}
}

// txn returns the transaction that writes the registration. If that says that it is the
// first one of the host, there must be no row.
func (g *registrar) txn() amrplatform.Txn {
	g.setReading()
	txn := amrplatform.Txn{Puts: []amrplatform.Put{{Key: g.key, Value: g.encoded()}}}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.value.First {
		txn.Checks = []amrplatform.Check{{Key: g.key}}
	}
	return txn
}

// setReading sets the reading in the registration.
func (g *registrar) setReading() {
	reading := noteOf(g.router.tableReading())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.value.Reading = reading
}

// setNotFirst records that a row of the host may exist already.
func (g *registrar) setNotFirst() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.value.First = false
}
