package amrdirect

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrorigin"
	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrreplica"
)

const (
	// softwarePrefix is the prefix of the keys of the shared rows with the software
	// versions of the servers of a pool. The name of the pool follows.
	softwarePrefix = "software/"

	// sweptRows is the maximum number of rows of streams that one call reads to find
	// those that routers which are gone have left.
	sweptRows = 100

	// clockTolerance is the time by which the time of a row may be in the future.
	// Routers estimate the reading of the table's clock.
	clockTolerance = time.Second
)

// softwareRow is the value of the row with the software versions of a pool.
type softwareRow struct {
	Versions []amrpool.SoftwareID `json:"versions"`
	SinceMS  int64                `json:"since-ms"` // By the clock of the shared table.
	Era      uint64               `json:"era"`      // Era of the table that the writer knew. The row may be outdated in a later one.
}

// streamRow is the value of the row of a stream.
type streamRow struct {
	Pool     amrorigin.PoolID   `json:"pool"`
	Software amrpool.SoftwareID `json:"software"`
	AtMS     int64              `json:"at-ms"` // Time of the write by the clock of the shared table.
}

// origins keeps what the directory of streams needs after all routers were gone at once.
// It implements amrorigin.Store.
type origins struct {
	router  *Router
	confirm singleflight.Group
	cursor  string // Key from which ExpiredStreams, which is called by one goroutine, reads.
}

func newOrigins(r *Router) *origins {
	// Routers begin to read at different keys.
	return &origins{router: r, cursor: streamKey(amrorigin.Stream(rand.Uint64()))}
}

// originOptions returns the options of the directory of streams.
func (r *Router) originOptions() []amrorigin.Option {
	options := []amrorigin.Option{amrorigin.WithRegisterer(r.registry)}
	if r.streamStore != nil {
		options = append(options, amrorigin.WithStore(r.streamStore))
	}
	return options
}

// writeRank returns the position of the router on the host among those that write the rows of
// pools. Hosts with less capacity come first. They coordinate fewer placement groups, or none,
// so that a failure of the writer of a row seldom takes a coordinator with it.
func writeRank(host string, routers []amrreplica.Router) int {
	own := slices.IndexFunc(routers, func(r amrreplica.Router) bool { return r.Host == host })
	if own < 0 {
		return 0
	}
	rank := 0
	for _, r := range routers {
		if cmp.Or(cmp.Compare(relativeCapacity(r), relativeCapacity(routers[own])), cmp.Compare(r.Host, host)) < 0 {
			rank++
		}
	}
	return rank
}

// relativeCapacity returns the capacity of the router's host, which is 1 if it is not stated.
func relativeCapacity(r amrreplica.Router) float64 {
	if r.Capacity <= 0 {
		return 1
	}
	return r.Capacity
}

// applySoftware applies the rows with the software versions of pools that the shared table
// has now.
func (r *Router) applySoftware() {
	r.softwareMu.Lock() // An older copy must not be applied after a newer one.
	defer r.softwareMu.Unlock()
	table := r.copies.Followers[tableShared].Copy()
	if !table.Filled() {
		return
	}
	now := r.clock.Now()
	tableNow, era := table.TableNow(now), r.era.Load()
	rows := make(map[string]amrorigin.PoolRow)
	others := false // A router has registered before this one, or is older than the field First.
	for _, row := range table.Rows() {
		if registered, ok := decodeRegistration(row); ok && !registered.First {
			others = true
		}
		if pool, ok := strings.CutPrefix(row.Key, softwarePrefix); ok {
			if age, versions, ok := r.decodeSoftware(row, tableNow, era); ok {
				rows[pool] = amrorigin.PoolRow{Versions: versions, Since: now.Add(-age)}
			}
		}
	}
	newPlatform := !others && r.registrar.isFirst() && era <= firstEra
	r.origins.ApplyPoolRows(rows, newPlatform)
	if newPlatform && !r.served(rows, now) && r.forward.AllowSlack() {
		r.log.Info("no router has served the platform before; the slack of the retry bounds may be used at once")
	}
}

// served reports whether routers have served the platform for more than a window of the
// retry bounds, according to the rows with the software versions of pools. A router on a new
// host must then wait for its share of the slack, which the others may have used.
func (r *Router) served(rows map[string]amrorigin.PoolRow, now time.Time) bool {
	for _, row := range rows {
		if now.Sub(row.Since) > amrorigin.NewPlatformAge+r.settings.Bounds.Retries.Window {
			return true
		}
	}
	return false
}

// decodeSoftware decodes the row with the software versions of a pool, and returns the time
// for which they have lasted. It returns false if the row counts as missing: it is from an
// earlier era, so that the table was restored since and may have lost a later one, or its
// time is in the future, so that the clock of the table has begun anew.
func (r *Router) decodeSoftware(row amrfollow.Row, tableNow time.Duration, era uint64) (age time.Duration, versions []amrpool.SoftwareID, ok bool) {
	var value softwareRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		r.log.Warn("cannot decode the software versions of a pool; ignoring them", "row", row.Key, "err", err)
		return 0, nil, false
	}
	age = tableNow - time.Duration(value.SinceMS)*time.Millisecond
	return max(0, age), value.Versions, value.Era == era && age > -clockTolerance
}

// decodeRegistration decodes the registration of a router, and returns false if the row is
// of another kind.
func decodeRegistration(row amrfollow.Row) (registration, bool) {
	var value registration
	if !strings.HasPrefix(row.Key, registrationPrefix) {
		return value, false
	}
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return registration{}, true // It is logged where registrations are applied.
	}
	return value, true
}

// WritePool writes the row of the pool, unless it has another version than this router's
// copy.
func (o *origins) WritePool(ctx context.Context, pool string, row amrorigin.PoolRow) error {
	r := o.router
	tableNow, err := o.tableNow()
	if err != nil {
		return err
	}
	key := softwarePrefix + pool
	known, _ := r.copies.Followers[tableShared].Copy().Row(key)
	value, err := json.Marshal(softwareRow{Versions: row.Versions, SinceMS: (tableNow - r.clock.Since(row.Since)).Milliseconds(), Era: r.era.Load()})
	if err != nil {
		panic(err) // A struct of numbers can always be encoded.
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	position, err := r.deps.Rows.Write(ctx, amrplatform.Txn{
		Checks: []amrplatform.Check{{Key: key, Version: known.Version}},
		Puts:   []amrplatform.Put{{Key: key, Value: value}},
	})
	if err == nil {
		r.observeEra(position.Era)
	}
	return err
}

// WriteStreams writes rows of streams and deletes others.
func (o *origins) WriteStreams(ctx context.Context, puts []amrorigin.StreamRow, deletes []amrorigin.Stream) error {
	at, err := o.tableNow()
	if err != nil {
		return err
	}
	var txn amrplatform.Txn
	for _, put := range puts {
		value, err := json.Marshal(streamRow{Pool: put.Origin.Pool, Software: put.Origin.Software, AtMS: at.Milliseconds()})
		if err != nil {
			panic(err) // A struct of numbers can always be encoded.
		}
		txn.Puts = append(txn.Puts, amrplatform.Put{Key: streamKey(put.Stream), Value: value})
	}
	for _, s := range deletes {
		txn.Deletes = append(txn.Deletes, streamKey(s))
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = o.router.deps.Streams.Write(ctx, txn)
	return err
}

// ReadStream returns the origin of the stream, or an error of type amrplatform.NotFound or
// amrplatform.Unavailable.
func (o *origins) ReadStream(ctx context.Context, s amrorigin.Stream) (amrorigin.Origin, error) {
	ctx, cancel := context.WithTimeout(ctx, amrorigin.LookupTimeout)
	defer cancel()
	item, _, err := o.router.deps.Streams.Read(ctx, streamKey(s))
	if err != nil {
		return amrorigin.Origin{}, err
	}
	var value streamRow
	if err := json.Unmarshal(item.Value, &value); err != nil {
		return amrorigin.Origin{}, amrplatform.Unavailable.Wrap(err, "cannot decode the row of stream %q; delete it", item.Key)
	}
	return amrorigin.Origin{Pool: value.Pool, Software: value.Software}, nil
}

// ExpiredStreams reads some rows of streams, each time the following ones, and returns
// those that are older than the given age.
func (o *origins) ExpiredStreams(ctx context.Context, age time.Duration) ([]amrorigin.Stream, error) {
	tableNow, err := o.tableNow()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, err := o.router.deps.Streams.Page(ctx, o.cursor, sweptRows)
	if err != nil {
		return nil, err
	}
	o.cursor = ""
	if len(items) == sweptRows {
		o.cursor = items[len(items)-1].Key + "\x00"
	}
	var expired []amrorigin.Stream
	for _, item := range items {
		var value streamRow
		s, err := strconv.ParseUint(item.Key, 16, 64)
		if err != nil || json.Unmarshal(item.Value, &value) != nil {
			o.router.log.Warn("cannot decode the row of a stream; ignoring it", "row", item.Key)
			continue
		}
		if tableNow-time.Duration(value.AtMS)*time.Millisecond >= age {
			expired = append(expired, amrorigin.Stream(s))
		}
	}
	return expired, nil
}

// confirmedFor is the time for which lists count as current after they were.
const confirmedFor = 250 * time.Millisecond

// ConfirmLists returns nil if the list of servers and the rows of pools, as this router has
// applied them, were those of the store at most confirmedFor ago. Calls at the same time
// share the calls to the store.
func (o *origins) ConfirmLists(ctx context.Context) error {
	if o.ListsAge() <= confirmedFor {
		return nil
	}
	_, err, _ := o.confirm.Do("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), amrorigin.LookupTimeout)
		defer cancel()
		return nil, o.confirmTables(ctx)
	})
	return err
}

// confirmTables confirms the copies of both tables against a position that it reads.
func (o *origins) confirmTables(ctx context.Context) error {
	deps, followers := o.router.deps, o.router.copies.Followers
	least, err := deps.Streams.Position(ctx)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return followers[tableServers].Confirm(ctx, deps.Servers, least) })
	group.Go(func() error { return followers[tableShared].Confirm(ctx, deps.Shared, least) })
	return group.Wait()
}

// ListsAge returns the time since the list of servers and the rows of pools, as this router
// has them, were both known to be those of the store.
func (o *origins) ListsAge() time.Duration {
	followers := o.router.copies.Followers
	servers, shared := followers[tableServers].CurrentAt(), followers[tableShared].CurrentAt()
	if shared.Before(servers) {
		servers = shared
	}
	return o.router.clock.Since(servers)
}

// Rank returns the position of this router among the registered ones, and their number.
func (o *origins) Rank() (rank, routers int) {
	return int(o.router.rank.Load()), int(o.router.routers.Load())
}

// tableNow returns an estimate of the reading of the shared table's clock, or an error of
// type amrplatform.Unavailable while that is not known.
func (o *origins) tableNow() (time.Duration, error) {
	table := o.router.copies.Followers[tableShared].Copy()
	if !table.Filled() {
		return 0, amrplatform.Unavailable.New("the shared table has not been read; try again")
	}
	return table.TableNow(o.router.clock.Now()), nil
}

// streamKey returns the key of the row of a stream.
func streamKey(s amrorigin.Stream) string {
	return fmt.Sprintf("%016x", uint64(s))
}
