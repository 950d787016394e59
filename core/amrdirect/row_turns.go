package amrdirect

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrtick"
)

const (
	// rowInterval is the time between two comparisons of rows of the shared table with what
	// this router knows. What is younger may be lost when all routers are killed.
	rowInterval = 200 * time.Millisecond

	// rowRankDelay is the time for each rank by which routers delay a write that is due.
	// A write and its way to the other routers take less, so that they find the row written.
	rowRankDelay = 500 * time.Millisecond

	// rowWriteInterval is the minimum time between two writes of a router to a row.
	rowWriteInterval = time.Second

	// maxRowWrites is the maximum number of rows that one transaction writes.
	maxRowWrites = 100
)

// rowTurns decides which of the routers that all want to change a shared row writes it, and
// when. Each row has a router that writes it, which is determined by rendezvous hashing; the
// others write in turn if the row stays outdated. It is not safe for concurrent use. Create
// it with newRowTurns.
type rowTurns struct {
	host string
	seen map[string]seenRow // By the name of the row.
}

// seenRow is what a router has seen of a row.
type seenRow struct {
	version   uint64    // 0 if there was no row.
	changedAt time.Time // Time at which the row last changed; zero if it has not.
	due       time.Time // Time since which the row is outdated; zero if it is not.
	written   bool      // This router has written the row, and its copy of the table does not show it yet.
}

// rowChange is a change of a row that a router considers.
type rowChange struct {
	name     string
	version  uint64        // Version of the row; 0 if there is none.
	outdated bool          // Whether the row must be changed.
	delay    time.Duration // Time for which the row must be outdated before.
	urgent   bool          // The row is written also shortly after its last change.
}

func newRowTurns(host string) *rowTurns {
	return &rowTurns{host: host, seen: make(map[string]seenRow)}
}

// mayWrite reports whether this router makes the change now.
func (t *rowTurns) mayWrite(now time.Time, c rowChange, hosts []string) bool {
	seen := t.seen[c.name]
	if seen.version != c.version {
		if !seen.written {
			seen.changedAt = now
		}
		seen.version, seen.written = c.version, false
	}
	recent := now.Sub(seen.changedAt) < rowWriteInterval
	seen.written = seen.written && recent
	switch {
	case !c.outdated:
		seen.due = time.Time{}
	case seen.due.IsZero():
		seen.due = now
	}
	t.seen[c.name] = seen
	if !c.outdated && c.version == 0 && !recent {
		delete(t.seen, c.name)
	}
	if recent && (!c.urgent || seen.written) {
		return false
	}
	return c.outdated && now.Sub(seen.due) >= c.delay+time.Duration(t.rank(c.name, hosts))*rowRankDelay
}

// rank returns the number of routers that write the row before this one.
func (t *rowTurns) rank(name string, hosts []string) int {
	own, rank := xxh3.HashString(t.host+"/"+name), 0
	for _, host := range hosts {
		if xxh3.HashString(host+"/"+name) > own {
			rank++
		}
	}
	return rank
}

// splitRows returns the rows whose keys begin with the prefix, by the rest of the key, and the
// hosts of the registered routers.
func splitRows(all []amrfollow.Row, prefix string) (rows map[string]amrfollow.Row, hosts []string) {
	rows = make(map[string]amrfollow.Row)
	for _, row := range all {
		if name, ok := strings.CutPrefix(row.Key, prefix); ok {
			rows[name] = row
		} else if host, ok := strings.CutPrefix(row.Key, registrationPrefix); ok {
			hosts = append(hosts, host)
		}
	}
	return rows, hosts
}

// recordWrite records that this router has written the row, which its copy of the table may
// not show yet.
func (t *rowTurns) recordWrite(now time.Time, name string) {
	seen := t.seen[name]
	seen.changedAt, seen.written = now, true
	t.seen[name] = seen
}

// keep forgets the rows for which wanted returns false, unless they have just changed.
func (t *rowTurns) keep(now time.Time, wanted func(name string) bool) {
	maps.DeleteFunc(t.seen, func(name string, seen seenRow) bool {
		return !wanted(name) && now.Sub(seen.changedAt) >= rowWriteInterval
	})
}

// writeRows writes the rows with signals of servers and strikes of requests that are due until
// ctx is done. It always returns nil.
func (r *Router) writeRows(ctx context.Context) error {
	amrtick.Every(ctx, r.clock, rowInterval, func() {
		r.signals.write(ctx)
		r.strikes.write(ctx)
	})
	return nil
}
