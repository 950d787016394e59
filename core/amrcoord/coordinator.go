package amrcoord

import (
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrpool"
)

const (
	// placementMargin is the time after the deadline of a request from which it no
	// longer counts as in flight, if its end was not reported.
	placementMargin = 500 * time.Millisecond

	// sweepInterval is the minimum time between two searches for such requests.
	sweepInterval = 500 * time.Millisecond
)

// coordinator places requests of other routers at the servers of the groups that
// they ask for. It counts them as in flight until their routers report the end.
type coordinator struct {
	fleet *amrpool.Fleet
	names Names

	limitServers func(*amrpool.Request) // Sets which limits of servers the request may use.
	boundMemory  func(*amrpool.Request) // Sets how much of the servers' memory this router may fill.

	mu         sync.Mutex
	placements map[placementKey]placement
	sweptAt    time.Time
}

// placementKey identifies a request that was placed for another router.
type placementKey struct {
	from     amrgossip.HostID
	sequence uint32
}

// placement is a request that was placed for another router.
type placement struct {
	choice  *amrpool.Choice
	expires time.Time
}

// place selects a server for the query of a router.
func (c *coordinator) place(now time.Time, from amrgossip.HostID, q amrgossip.Query) amrgossip.Reply {
	c.sweep(now)
	reply := amrgossip.Reply{Sequence: q.Sequence}
	pool, model := findName(c.names.Pools(), q.Pool), findName(c.names.Models(), q.Model)
	plain := q.Model == nameID("")
	if pool == "" || model == "" && !plain || len(q.Keys) != len(q.PartTokens) {
		reply.Denial = int(amrpool.NoServer) + 1
		return reply
	}
	r := requestOf(pool, model, q, c.fleet.NameOf)
	c.limitServers(&r)
	c.boundMemory(&r)
	choice, denial := c.fleet.Pick(now, r)
	if choice == nil {
		denyWith(&reply, denial)
		return reply
	}
	key := placementKey{from, q.Sequence}
	expires := now.Add(time.Duration(q.TimeLeftMS)*time.Millisecond + placementMargin)
	c.mu.Lock()
	old, repeated := c.placements[key]
	c.placements[key] = placement{choice: choice, expires: expires}
	c.mu.Unlock()
	if repeated { // The router has restarted and counts anew.
		old.choice.Done(now, amrpool.Canceled)
	}
	return ReplyOf(q.Sequence, choice.Assignment())
}

// update applies the update of a request that was placed. Updates may arrive more
// than once.
func (c *coordinator) update(now time.Time, from amrgossip.HostID, u amrgossip.Update) {
	key := placementKey{from, u.Sequence}
	c.mu.Lock()
	p, ok := c.placements[key]
	if ok && u.Ended {
		delete(c.placements, key)
	}
	c.mu.Unlock()
	switch {
	case !ok:
	case u.Ended:
		p.choice.Done(now, amrpool.Result(u.Result))
	default:
		p.choice.ResponseStarted(now, loadOf(u.Load))
	}
}

// sweep ends the requests whose deadline has passed and whose end was not reported.
func (c *coordinator) sweep(now time.Time) {
	var expired []*amrpool.Choice
	c.mu.Lock()
	if now.Sub(c.sweptAt) >= sweepInterval {
		c.sweptAt = now
		for key, p := range c.placements {
			if !now.Before(p.expires) {
				expired = append(expired, p.choice)
				delete(c.placements, key)
			}
		}
	}
	c.mu.Unlock()
	for _, choice := range expired {
		choice.Done(now, amrpool.Canceled)
	}
}

// count returns the number of requests in flight that were placed for others.
func (c *coordinator) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.placements)
}

// Names provides the names that queries refer to by their hashes.
type Names interface {
	Pools() []string
	Models() []string
}

// findName returns the name with the hash, or an empty string if there is none.
func findName(names []string, id uint32) string {
	for _, name := range names {
		if nameID(name) == id {
			return name
		}
	}
	return ""
}

// nameID returns the hash that identifies the name of a pool or a model in queries.
func nameID(name string) uint32 {
	return uint32(xxh3.HashString(name))
}
