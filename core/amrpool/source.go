package amrpool

// holder is a server that used leading parts of a prompt a moment ago.
type holder struct {
	server *server
	depth  int    // Leading shared parts.
	rank   uint64 // Spreads the transfers over holders of equal depth.
}

// better reports whether h is better to fetch from than other, wherever the
// parts go to.
func (h holder) better(other holder) bool {
	if other.server == nil || h.depth != other.depth {
		return other.server == nil || h.depth > other.depth
	}
	return h.rank > other.rank
}

// bestTwo are the two best holders: the second counts where the parts go to the
// first. So the choice for all servers of a pool takes one look at each.
type bestTwo struct {
	first, second holder
}

func (b *bestTwo) add(h holder) {
	switch {
	case h.better(b.first):
		b.first, b.second = h, b.first
	case h.better(b.second):
		b.second = h
	}
}

// except returns the best holder other than the server. Its server is nil where
// there is none.
func (b *bestTwo) except(s *server) holder {
	if b.first.server == s {
		return b.second
	}
	return b.first
}

// sources are the best holders with one version of the weights.
type sources struct {
	all    bestTwo
	byZone map[string]*bestTwo
}

// addSource notes that a server with the version has parts of the prompt.
func (p *prompt) addSource(version int, h holder) {
	known := p.sources[version]
	if known == nil {
		known = &sources{byZone: make(map[string]*bestTwo)}
		p.sources[version] = known
	}
	known.all.add(h)
	zone := known.byZone[h.server.AvailabilityZone]
	if zone == nil {
		zone = &bestTwo{}
		known.byZone[h.server.AvailabilityZone] = zone
	}
	zone.add(h)
}

// source returns the holder from which the server fetches parts best: with the
// same weights and the most parts, in its availability zone where there is one.
// Its server is nil where none has any.
func (p *prompt) source(to *server) holder {
	known := p.sources[to.version[p.model]]
	if known == nil {
		return holder{}
	}
	best := known.all.except(to)
	if zone := known.byZone[to.AvailabilityZone]; zone != nil {
		if near := zone.except(to); near.server != nil && near.depth >= best.depth {
			return near
		}
	}
	return best
}
