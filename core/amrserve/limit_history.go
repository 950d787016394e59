package amrserve

import "time"

// maxPastLimits is the maximum number of changes of the limits that are remembered one
// by one. Older ones are joined, which makes timeouts longer.
const maxPastLimits = 64

// limitHistory is the current limits and those before.
type limitHistory struct {
	current ConnLimits
	past    []pastLimits // Oldest first.
}

// pastLimits are limits that were in force until a time.
type pastLimits struct {
	ConnLimits
	until time.Time
}

// set replaces the current limits at the time now.
func (h *limitHistory) set(now time.Time, limits ConnLimits) {
	if limits == h.current {
		return
	}
	h.past = append(h.past, pastLimits{h.current, now})
	h.current = limits
	if len(h.past) > maxPastLimits {
		h.past[1].ConnLimits = h.past[0].longer(h.past[1].ConnLimits)
		h.past = h.past[1:]
	}
}

// longest returns the longest timeouts in force since the given time. The defaults are
// in force in place of timeouts of zero.
func (h *limitHistory) longest(since time.Time, defaults ConnLimits) ConnLimits {
	longest := h.current.or(defaults)
	for _, p := range h.past {
		if !p.until.Before(since) {
			longest = longest.longer(p.or(defaults))
		}
	}
	return longest
}

// or returns the limits with the defaults in place of timeouts of zero.
func (l ConnLimits) or(defaults ConnLimits) ConnLimits {
	if l.HeaderTimeout == 0 {
		l.HeaderTimeout = defaults.HeaderTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = defaults.IdleTimeout
	}
	return l
}

// longer returns the limits with the longer timeouts of both.
func (l ConnLimits) longer(other ConnLimits) ConnLimits {
	l.HeaderTimeout = max(l.HeaderTimeout, other.HeaderTimeout)
	l.IdleTimeout = max(l.IdleTimeout, other.IdleTimeout)
	return l
}
