package amrdirect

import (
	"maps"
	"time"
)

// handover keeps the time between orders of two hosts to one engine. It goes by
// the notes of the lease: a holder orders only engines that its note names.
type handover struct {
	gap     time.Duration
	started time.Time
	own     string               // Name of this host.
	holder  string               // Of the last note.
	named   map[string]bool      // Engines that the last note names, of another host.
	freeAt  map[string]time.Time // By engine: from when this host may order it.
}

func newHandover(now time.Time, own string, gap time.Duration) *handover {
	return &handover{gap: gap, started: now, own: own, named: make(map[string]bool), freeAt: make(map[string]time.Time)}
}

// saw takes in a note of the holder with the engines that it names.
func (h *handover) saw(now time.Time, holder string, engines map[string]bool) {
	if h.holder != h.own {
		for engine := range h.named {
			h.freeAt[engine] = now.Add(h.gap)
		}
	}
	h.holder = holder
	h.named = maps.Clone(engines)
	for engine, at := range h.freeAt {
		if now.Sub(at) > 0 {
			delete(h.freeAt, engine)
		}
	}
}

// take notes that this host takes the lease over from the last holder, which
// may have ordered the engines of its note until the expiry of its lease.
func (h *handover) take(expiry time.Time) {
	if h.holder == h.own || h.holder == "" {
		return
	}
	for engine := range h.named {
		h.freeAt[engine] = expiry.Add(h.gap)
	}
	h.holder = h.own
}

// allowed reports whether this host may order the engine. Of the time before
// its start it knows nothing.
func (h *handover) allowed(now time.Time, engine string) bool {
	if h.holder != "" && now.Before(h.started.Add(h.gap)) {
		return false
	}
	return !now.Before(h.freeAt[engine])
}
