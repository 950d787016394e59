package amrpool

// partSource is a server from which leading parts of a prompt can be fetched.
type partSource struct {
	server *server
	depth  int    // Number of leading shared parts.
	rank   uint64 // Decides between sources of equal depth, so that transfers spread over them.
}

// betterThan reports whether src is a better source than other, regardless of
// the destination.
func (src partSource) betterThan(other partSource) bool {
	if other.server == nil || src.depth != other.depth {
		return other.server == nil || src.depth > other.depth
	}
	return src.rank > other.rank
}

// bestTwo holds the two best sources. The second one is used when the first is
// itself the destination. So one pass over a pool's servers suffices to find
// the best source for each of them.
type bestTwo struct {
	first, second partSource
}

// add adds a source.
func (b *bestTwo) add(src partSource) {
	switch {
	case src.betterThan(b.first):
		b.first, b.second = src, b.first
	case src.betterThan(b.second):
		b.second = src
	}
}

// except returns the best source other than the server. The result has a nil
// server if there is none.
func (b *bestTwo) except(s *server) partSource {
	if b.first.server == s {
		return b.second
	}
	return b.first
}

// sources holds the best sources whose servers hold the same version of the
// weights.
type sources struct {
	all    bestTwo
	byZone map[string]*bestTwo // Best sources by availability zone.
}

// addSource adds a source of the prompt's parts for the version of the weights.
func (p *prompt) addSource(version int, src partSource) {
	known := p.sources[version]
	if known == nil {
		known = &sources{byZone: make(map[string]*bestTwo)}
		p.sources[version] = known
	}
	known.all.add(src)
	zone := known.byZone[src.server.AvailabilityZone]
	if zone == nil {
		zone = &bestTwo{}
		known.byZone[src.server.AvailabilityZone] = zone
	}
	zone.add(src)
}

// source returns the best source from which the server can fetch parts. Its
// server holds the same version of the weights and has the most parts; if
// possible, it is in the same availability zone. The result has a nil server if
// there is no source.
func (p *prompt) source(to *server) partSource {
	known := p.sources[to.version[p.model]]
	if known == nil {
		return partSource{}
	}
	best := known.all.except(to)
	if zone := known.byZone[to.AvailabilityZone]; zone != nil {
		if near := zone.except(to); near.server != nil && near.depth >= best.depth {
			return near
		}
	}
	return best
}
