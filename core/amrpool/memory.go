package amrpool

import (
	"slices"
	"time"
)

const (
	// maxRequestAge is the time after which the requests that other routers placed at a
	// server before this router took over have ended: the longest usual deadline.
	maxRequestAge = 12 * time.Second

	// usableMemory is the share of a server's memory that requests in flight may take.
	// The rest is not used, since a server learns late that a request was canceled.
	usableMemory = 0.9

	// fewRequests is the number of requests of other routers from which these are taken
	// to place requests too. A report may also count requests of this router that have
	// just ended.
	fewRequests = 2

	// sharedRoom is the share of the room at a server, as last reported, that this router
	// may take within roomPeriod while other routers place requests there too. With two
	// routers, a share s is safe if s + s(1-s) + s is at most 1: one router may take its
	// share twice before the other one's share has expired.
	sharedRoom = 1.0 / 3
	roomPeriod = 300 * time.Millisecond
)

// MemoryRights bounds the memory that a router may fill at each server with the requests
// for which it selects the server, as shares of the server's memory. The shares of all routers
// stay below the whole memory while routers agree on the routers and groups, so that a
// server holds the requests even if no router knows of those of the others. Requests larger
// than Largest are exempt.
type MemoryRights struct {
	Share   float64
	Reserve func(ServerID) float64 // Returns the share in addition to Share.
	Largest float64                // Largest share that any router has.

	// TakenOver is set while requests may still run that another router placed with the share
	// which this router has now.
	TakenOver bool
}

// shareAt returns the share of the server's memory.
func (m *MemoryRights) shareAt(s *server) float64 {
	return m.Share + m.Reserve(s.id)
}

// heldMemory is the memory that the requests in flight at a server take, as far as this
// router sent or placed them. Parts that several of them share count once. Parts that
// are only cached do not count: the server drops them when it needs the memory.
type heldMemory struct {
	tokens     int
	requests   int
	shared     map[uint64]*heldPart // By prefix key.
	usedSince  time.Time            // Time from which this router has placed requests there.
	lastUsed   time.Time
	reportedAt time.Time // Time of the first report of the load since usedSince; zero if there is none.

	// Of the last period that began with a report of the load:
	room   float64 // Memory that was neither held nor estimated to be taken by other routers' requests.
	roomAt time.Time
	added  int // Tokens that were added since.
}

// heldPart is a shared part of requests in flight.
type heldPart struct {
	tokens   int
	requests int
}

// ownTokens returns the memory that the request takes without its shared parts.
func (r *Request) ownTokens() int {
	return max(0, r.PromptTokens-sumTokens(r.Parts[:r.shared()])) + r.OutputTokens
}

// need returns the memory that the request takes in addition to what is held.
func (m *heldMemory) need(r *Request) int {
	tokens := r.ownTokens()
	for i, key := range r.PrefixKeys()[:r.shared()] {
		if m.shared[key] == nil {
			tokens += r.Parts[i].Tokens
		}
	}
	return tokens
}

// hold counts the memory of the request.
func (m *heldMemory) hold(now time.Time, r *Request) {
	if m.shared == nil {
		m.shared = make(map[uint64]*heldPart)
	}
	if m.usedSince.IsZero() || m.requests == 0 && now.Sub(m.lastUsed) >= maxRequestAge {
		m.usedSince, m.reportedAt = now, time.Time{}
	}
	m.requests++
	need := m.need(r)
	m.tokens += need
	m.added += need
	for i, key := range r.PrefixKeys()[:r.shared()] {
		if m.shared[key] == nil {
			m.shared[key] = &heldPart{tokens: r.Parts[i].Tokens}
		}
		m.shared[key].requests++
	}
}

// release takes back hold at the end of the request, and returns the tokens that came
// free.
func (m *heldMemory) release(now time.Time, own int, keys []uint64) int {
	freed := own
	for _, key := range keys {
		p := m.shared[key]
		p.requests--
		if p.requests == 0 {
			freed += p.tokens
			delete(m.shared, key)
		}
	}
	m.requests--
	m.tokens -= freed
	m.lastUsed = now
	return freed
}

// report records that the server with memory for bound tokens has reported its load, with
// the given number of requests of other routers.
func (m *heldMemory) report(now time.Time, bound int, otherRequests float64) {
	if m.reportedAt.IsZero() {
		m.reportedAt = now
	}
	if now.Sub(m.roomAt) >= roomPeriod {
		m.room = usableMemory*float64(bound) - float64(m.tokens) - m.others(otherRequests)
		m.roomAt, m.added = now, 0
	}
}

// others estimates the memory that requests of other routers take: each as much as the
// mean of those that this router placed there.
func (m *heldMemory) others(requests float64) float64 {
	return requests * float64(m.tokens) / float64(max(1, m.requests))
}

// WithHardServerMemory bounds the memory that requests in flight take at each server to
// what its pool's engines have. By default, a server that is nearly full only costs more.
func WithHardServerMemory() Option {
	return func(f *Fleet) { f.hardMemory = true }
}

// HasHardServerMemory reports whether the memory of servers is a hard bound.
func (f *Fleet) HasHardServerMemory() bool {
	return f.hardMemory
}

// countSelected counts the request among those for which this router selected the server.
func (c *Choice) countSelected(now time.Time, r *Request) {
	if c.charge.selected = c.fleet.hardMemory && r.Model != ""; c.charge.selected {
		c.server.occupancy.selected.hold(now, r)
	}
}

// exceedsMemory reports whether the request would not fit into any server of its pool,
// even if that ran nothing else.
func (f *Fleet) exceedsMemory(r *Request) bool {
	bound := f.cacheTokens(r.Pool)
	return f.hardMemory && r.Model != "" && bound > 0 && r.PromptTokens+r.OutputTokens > bound
}

// memoryFit says whether a server's memory holds a request beside those in flight.
type memoryFit int

const (
	noRoom      memoryFit = iota // Requests in flight hold the memory, or this router's share of it.
	roomUnknown                  // Depends on requests of other routers, of which the reports of the server tell too little.
	hasRoom
)

// fits reports whether the server's memory is known to hold the request beside those in flight.
func (f *Fleet) fits(now time.Time, r *Request, s *server) bool {
	return f.memoryFit(now, r, s) == hasRoom
}

// memoryFit returns whether the server's memory holds the request beside those in flight. It
// leaves room for the requests of other routers, by the server's last report, and for
// those placed before this router took over. Until the server has reported its load, or
// these have ended, this router has one request in flight there. MemoryRights that were
// not taken over replace this rule by their share.
func (f *Fleet) memoryFit(now time.Time, r *Request, s *server) memoryFit {
	bound := f.cacheTokens(r.Pool)
	if !f.hardMemory || r.Model == "" || bound == 0 {
		return hasRoom
	}
	m := &s.occupancy.memory
	need, usable := float64(m.need(r)), usableMemory*float64(bound)
	if rights := r.MemoryRights; rights != nil {
		selected := &s.occupancy.selected
		added := float64(selected.need(r))
		if added > rights.Largest*float64(bound) {
			return roomIf(!rights.TakenOver && rights.Share == rights.Largest && m.requests == 0 && !s.loadAt.IsZero() && s.earlierRequests(now) < 1)
		}
		if float64(selected.tokens)+added > rights.shareAt(s)*float64(bound) {
			return noRoom
		}
		if !rights.TakenOver {
			return roomIf(float64(m.tokens)+need+m.others(s.otherRequests(now)) <= usable)
		}
	}
	if m.requests == 0 {
		if s.earlierRequests(now) < 1 || s.otherRequests(now) < 1 {
			return hasRoom
		}
		return roomUnknown
	}
	if float64(m.tokens)+need+m.others(s.earlierRequests(now)) > usable {
		return noRoom
	}
	return m.fitByReports(now, need, s.earlierRequests(now))
}

// roomIf returns hasRoom or noRoom.
func roomIf(room bool) memoryFit {
	if room {
		return hasRoom
	}
	return noRoom
}

// fitByReports returns whether a server that runs requests of this router, and the given number
// of others as last reported, has room for the needed tokens.
func (m *heldMemory) fitByReports(now time.Time, need, otherRequests float64) memoryFit {
	switch {
	case m.reportedAt.IsZero() && now.Sub(m.usedSince) >= maxRequestAge:
		return hasRoom
	case m.reportedAt.IsZero():
		return roomUnknown
	case otherRequests < fewRequests:
		return hasRoom
	case now.Sub(m.reportedAt) < roomPeriod || now.Sub(m.roomAt) >= roomPeriod:
		return roomUnknown
	}
	return roomIf(float64(m.added)+need <= sharedRoom*m.room)
}

// earlierRequests returns the number of requests of other routers that the server's last
// report counts. Unlike otherRequests, it does not decrease before these have ended.
func (s *server) earlierRequests(now time.Time) float64 {
	if s.loadAt.IsZero() || now.Sub(s.loadAt) >= maxRequestAge {
		return 0
	}
	return float64(max(0, s.load.Running+s.load.Waiting-s.inFlightAtLoad))
}

// denyForMemory returns the denial of a request for which no eligible server is known to have
// memory now. If only the reports of a server are missing, the denial names no time to come
// back, since the next report is expected soon. Otherwise the caller should come back once as
// many tokens as it needs have come free at the server of the candidate.
func (f *Fleet) denyForMemory(now time.Time, r *Request, c candidate, eligible []*server) Denial {
	unknown := func(s *server) bool { return f.memoryFit(now, r, s) == roomUnknown }
	if i := slices.IndexFunc(eligible, unknown); i >= 0 {
		return Denial{Reason: Overloaded, Server: eligible[i].Name, Short: ShortOfReports}
	}
	need := c.server.occupancy.memory.need(r)
	wait := max(f.memoryWait(now, r, c.server), seconds(float64(need)/float64(f.cacheTokens(r.Pool))*f.tokenHold(c.server, need)))
	d := f.demandOf(now, r)
	serverTime := f.serverTime(r, c)
	d.record(r, serverTime, false)
	return Denial{
		Reason: Overloaded, Server: c.server.Name, Wait: wait, Short: ShortOfMemory,
		Pause: d.takeTurn(now, wait, serverTime, len(eligible)),
	}
}
