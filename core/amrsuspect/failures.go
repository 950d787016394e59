package amrsuspect

import (
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Failures tells whether a run that broke off speaks against its request. It does not where
// the server had served nothing since it last failed, while runs of other requests break off
// too and none completes: the servers of a pool then have a common failure, such as a loss of
// power, in which every request breaks off.
//
// Failures is safe for concurrent use. Create it with NewFailures.
type Failures struct {
	mu      sync.Mutex
	servers *lru.Cache[uint64, *serverHistory]  // By hash of the name.
	pools   *lru.Cache[string, *brokenContents] // By name, with what broke off since a run last completed.
}

// serverHistory is what this router has seen of a server.
type serverHistory struct {
	servedAt time.Time // Time of the last complete run.
	brokeAt  time.Time // Beginning of the last failure in which runs broke off.
	last     Failure   // What is known of that failure.
}

// brokenContents tells what the runs have in common that broke off in a pool.
type brokenContents struct {
	content uint64 // Of the first run.
	others  bool   // Runs with other contents broke off too.
	parts   []PartKey
}

// Failure is what is known of the failure of a server in which a run broke off.
type Failure struct {
	ServedAgo time.Duration // Time since the server last completed a run; negative if none is known.
	BrokeAgo  time.Duration // Time since it last failed; negative if it is not known to have failed.
	Common    bool          // The servers of the pool have a common failure, so that the run speaks against no request.
}

// NewFailures returns a Failures that knows of none.
func NewFailures() *Failures {
	return &Failures{servers: newPartCache[uint64, *serverHistory](), pools: newPartCache[string, *brokenContents]()}
}

// RecordServed records that a run completed at the server of the pool.
func (f *Failures) RecordServed(now time.Time, pool string, server uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.historyOf(server).servedAt = now
	f.pools.Remove(pool)
}

// RecordBreak records that a run broke off at the server of the pool. The content and the
// parts are those of its request.
func (f *Failures) RecordBreak(now time.Time, pool string, server, content uint64, parts []PartKey) Failure {
	f.mu.Lock()
	defer f.mu.Unlock()
	broken := f.brokenOf(pool, content, parts)
	broken.add(content, parts)
	h := f.historyOf(server)
	if !h.brokeAt.IsZero() && now.Sub(h.brokeAt) < sameCrashTime && !h.servedAt.After(h.brokeAt) {
		return h.last
	}
	h.last = Failure{ServedAgo: ago(now, h.servedAt), BrokeAgo: ago(now, h.brokeAt)}
	h.last.Common = !h.servedAt.After(h.brokeAt) && broken.unrelated()
	h.brokeAt = now
	return h.last
}

// historyOf returns the history of the server. The caller must hold f.mu.
func (f *Failures) historyOf(server uint64) *serverHistory {
	h, ok := f.servers.Get(server)
	if !ok {
		h = &serverHistory{}
		f.servers.Add(server, h)
	}
	return h
}

// brokenOf returns what broke off in the pool since a run last completed; a run with the
// content and the parts is the first one if nothing has. The caller must hold f.mu.
func (f *Failures) brokenOf(pool string, content uint64, parts []PartKey) *brokenContents {
	b, ok := f.pools.Get(pool)
	if !ok {
		b = &brokenContents{content: content, parts: slices.Clone(parts)}
		f.pools.Add(pool, b)
	}
	return b
}

// add adds a run that broke off.
func (b *brokenContents) add(content uint64, parts []PartKey) {
	b.others = b.others || content != b.content
	b.parts = slices.DeleteFunc(b.parts, func(part PartKey) bool { return !slices.Contains(parts, part) })
}

// unrelated reports whether the runs have nothing in common that may have crashed their
// servers.
func (b *brokenContents) unrelated() bool {
	return b.others && len(b.parts) == 0
}

// ago returns the time since the event, which is negative if there was none.
func ago(now, event time.Time) time.Duration {
	if event.IsZero() {
		return -1
	}
	return now.Sub(event)
}
