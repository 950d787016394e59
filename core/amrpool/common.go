package amrpool

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// minCommonTokens is the minimum size of a common part.
	minCommonTokens = 500

	// maxCommonParts is the maximum number of common parts that a router records.
	maxCommonParts = 4096
)

// CommonPart tells which server has a part that prompts of several placement groups
// begin with, such as a catalogue. The coordinators of the groups tell each other of
// such parts, so that each is computed once and not by every group. The parts behind
// it belong to a single group.
type CommonPart struct {
	Pool           string // Pool of the server.
	Key            uint64 // Prefix key of the part.
	WeightsVersion int    // Version of the weights with which the part was computed.
	Server         ServerID
}

// commonKey identifies a common part.
type commonKey struct {
	key     uint64
	version int
}

// commonHolder is an incarnation of a server that has a common part.
type commonHolder struct {
	server  ServerID
	started time.Time
}

// commonParts records the common parts that a router knows.
type commonParts struct {
	holders *simplelru.LRU[commonKey, commonHolder]
	news    []CommonPart // Parts that other coordinators must be told of.
}

func newCommonParts() commonParts {
	holders, err := simplelru.NewLRU[commonKey, commonHolder](maxCommonParts, nil)
	if err != nil {
		panic(err) // Happens only for a size that is not positive.
	}
	return commonParts{holders: holders}
}

// TakeCommonParts returns the common parts that the coordinators of the other groups
// must be told of, and forgets that.
func (f *Fleet) TakeCommonParts() []CommonPart {
	f.mu.Lock()
	defer f.mu.Unlock()
	news := f.common.news
	f.common.news = nil
	return news
}

// ApplyCommonPart records a common part that another router knows, unless this router
// knows a server that has it.
func (f *Fleet) ApplyCommonPart(c CommonPart) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := commonKey{c.Key, c.WeightsVersion}
	if s := f.byID[c.Server]; s != nil && f.commonServer(key) == nil {
		f.common.holders.Add(key, commonHolder{server: s.id, started: s.Started})
	}
}

// recordCommon records that the server has the common parts of the prompt, and queues
// those that were not known for the coordinators of the other groups.
func (f *Fleet) recordCommon(s *server, version int, p *prompt) {
	for i := range p.common {
		key := commonKey{p.keys[i], version}
		if p.parts[i].Tokens < minCommonTokens || f.commonServer(key) != nil {
			continue
		}
		f.common.holders.Add(key, commonHolder{server: s.id, started: s.Started})
		f.common.news = append(f.common.news, CommonPart{Pool: s.Pool, Key: key.key, WeightsVersion: version, Server: s.id})
		f.notify()
	}
}

// commonServer returns a server that has the common part and still holds the same
// weights, or nil if none is known.
func (f *Fleet) commonServer(key commonKey) *server {
	holder, ok := f.commonHolder(key)
	if !ok {
		return nil
	}
	s := f.byID[holder.server]
	if s == nil || !s.Started.Equal(holder.started) || s.signals.leaving || !s.holds(key.version) {
		return nil
	}
	return s
}

// commonHolder returns the recorded holder of the common part. An explanation does not
// count as a use of the part.
func (f *Fleet) commonHolder(key commonKey) (commonHolder, bool) {
	if f.explaining {
		return f.common.holders.Peek(key)
	}
	return f.common.holders.Get(key)
}

// holds reports whether the server holds the version of any model's weights.
func (s *server) holds(version int) bool {
	for _, v := range s.version {
		if v == version {
			return true
		}
	}
	return false
}

// addCommonSources adds the servers that have the common parts of the prompt to its
// sources, for the versions of the weights that eligible servers hold.
func (f *Fleet) addCommonSources(now time.Time, p *prompt) {
	for version := range p.stored {
		var source *server
		depth := 0
		for depth < p.common {
			s := f.commonServer(commonKey{p.keys[depth], version})
			if s == nil || source != nil && s != source || s.faultScore(now) >= maxSourceFaults {
				break
			}
			source = s
			depth++
		}
		if source != nil {
			p.addSource(version, partSource{server: source, depth: depth, rank: source.rank(p.keys[len(p.keys)-1])})
		}
	}
}
