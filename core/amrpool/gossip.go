package amrpool

import (
	"time"

	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrgossip"
)

const (
	// heardFor is how long the load that another router told of counts. A
	// router repeats it before.
	heardFor = 700 * time.Millisecond

	// repeatAfter is the time after which an unchanged load is told again.
	repeatAfter = 300 * time.Millisecond

	// toldTokens is the least size of a part whose place others are told.
	toldTokens = 500
)

// told is the load that this router told others of last.
type told struct {
	inFlight int
	pending  int
	at       time.Time
}

// Notices returns the loads that changed and the parts to be told of since the
// last call.
func (f *Fleet) Notices() ([]amrgossip.Load, []amrgossip.Part) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	var loads []amrgossip.Load
	for _, s := range f.byName {
		if load, due := s.tell(now); due {
			loads = append(loads, load)
		}
	}
	parts := f.notices
	f.notices = nil
	return loads, parts
}

// Urgent returns a channel that is ready when something is to be told of at
// once.
func (f *Fleet) Urgent() <-chan struct{} {
	return f.urgent
}

// Hurry has what is to be told of told at once.
func (f *Fleet) Hurry() {
	select {
	case f.urgent <- struct{}{}:
	default: // It is to be looked at already.
	}
}

// HashOf returns the hash that stands for a server's name in notices.
func HashOf(server string) uint64 {
	return xxh3.HashString(server)
}

// tell returns the load to be told of, and whether it is due.
func (s *server) tell(now time.Time) (amrgossip.Load, bool) {
	same := s.inFlight == s.told.inFlight && s.pendingTokens == s.told.pending
	idle := s.inFlight == 0 && s.pendingTokens == 0 && s.filled == 0
	if same && (idle || now.Sub(s.told.at) < repeatAfter) {
		return amrgossip.Load{}, false
	}
	load := amrgossip.Load{Server: s.hash, InFlight: s.inFlight, Pending: s.pendingTokens, Filled: s.filled}
	s.told = told{inFlight: s.inFlight, pending: s.pendingTokens, at: now}
	s.filled = 0
	return load, true
}

// Heard takes in a notice of another router.
func (f *Fleet) Heard(now time.Time, n amrgossip.Notice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gossipAt = now
	for _, load := range n.Loads {
		if s := f.byHash[load.Server]; s != nil {
			s.heard.set(n.From, heardLoad{inFlight: load.InFlight, pending: load.Pending, at: now})
			s.parts.fill(now, load.Filled)
		}
	}
	for _, part := range n.Parts {
		f.heardPart(now, part)
	}
	if n.Rollout != nil {
		f.heardRollout(now, n.Rollout)
	}
}

// heardPart takes in where another router says that a part is.
func (f *Fleet) heardPart(now time.Time, part amrgossip.Part) {
	key := storeKey{part.Place, part.Version, part.Key}
	switch part.State {
	case amrgossip.Cached:
		if s := f.byHash[part.Place]; s != nil {
			s.parts.use(now, part.Key, part.Tokens)
		}
	case amrgossip.Stored:
		f.store.parts.Add(key, storedPart{saving: now, stored: now})
	case amrgossip.Reading:
		if old, ok := f.store.parts.Peek(key); !ok || old.stored.IsZero() {
			f.store.parts.Add(key, storedPart{saving: now})
		}
	}
}

// notify has the others told that the shared parts of the prompt from the
// given one on are in the state at the place, a server or a store.
func (f *Fleet) notify(version int, p *prompt, from int, state amrgossip.PartState, place uint64) {
	for i := from; i < p.shared; i++ {
		part := amrgossip.Part{Version: version, Key: p.keys[i], State: state, Place: place, Tokens: p.parts[i].Tokens}
		if state == amrgossip.Cached && part.Tokens < toldTokens {
			continue
		}
		f.notices = append(f.notices, part)
	}
	if state == amrgossip.Cached {
		return // It goes with the next notice of loads.
	}
	f.Hurry()
}

// heardRollout takes in what the holder of the lease of orders says of changes
// of weights.
func (f *Fleet) heardRollout(now time.Time, r *amrgossip.Rollout) {
	for _, done := range r.Done {
		if s := f.byHash[done.Server]; s != nil {
			s.sawVersion(now, done.Model, done.Version)
		}
	}
	if r.Row < f.changesRow {
		return
	}
	if r.Row > f.changesRow {
		f.changesRow = r.Row
		for _, s := range f.byName {
			s.change = Change{}
		}
	}
	for _, c := range r.Changing {
		if s := f.byHash[c.Server]; s != nil {
			s.change = Change{Model: c.Model, Version: c.Version}
		}
	}
}

// elsewhere returns the requests of other routers at the server and their
// tokens that are not known to be read. It reports false where no router was
// heard lately.
func (f *Fleet) elsewhere(now time.Time, s *server) (inFlight, pending int, ok bool) {
	if f.gossipAt.IsZero() || now.Sub(f.gossipAt) >= heardFor {
		return 0, 0, false
	}
	inFlight, pending = s.heard.sum(now)
	return inFlight, pending, true
}
