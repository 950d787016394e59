package amrengine

import (
	"slices"
	"time"

	"amaranthreach.example/core/amrprompt"
)

// Pending is a request that is not yet at the engine but will be before the
// one in question.
type Pending struct {
	RequestID    string
	Keys         []amrprompt.Key
	PromptTokens int
}

// Forecast returns how long a request with the keys would wait for its prefill
// behind all accepted and pending ones, and how many of its blocks, from the
// first on, will be cached then. Pending requests that the engine has got
// meanwhile are left out. It reports false when the engine takes no requests
// now.
func (e *Engine) Forecast(pending []Pending, keys []amrprompt.Key) (wait time.Duration, blocks int, up bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if !e.up() {
		return 0, 0, false
	}
	here := e.scheduler.ids()
	pending = slices.DeleteFunc(pending, func(p Pending) bool { return here[p.RequestID] })
	wait, blocks = e.scheduler.forecast(e.settings.clock.Now(), pending, keys)
	return wait, blocks, true
}

func (s *scheduler) forecast(now time.Time, pending []Pending, keys []amrprompt.Key) (time.Duration, int) {
	coming := make(map[amrprompt.Key]bool)
	depth := func(keys []amrprompt.Key) int {
		for i, k := range keys {
			if s.cache.blocks[k] == nil && s.expected[k] == 0 && !coming[k] {
				return i
			}
		}
		return len(keys)
	}
	tokens := s.waitingTokens(now)
	for _, p := range pending {
		tokens += max(1, p.PromptTokens-depth(p.Keys)*amrprompt.TokensPerBlock)
		for _, k := range p.Keys {
			coming[k] = true
		}
	}
	wait := max(s.settings.prefillTime(tokens), s.slotWait(now, len(pending)))
	return wait, depth(keys)
}

// ids returns the ids of all requests at the engine.
func (s *scheduler) ids() map[string]bool {
	ids := make(map[string]bool)
	if s.prefill != nil {
		ids[s.prefill.id] = true
	}
	for _, j := range slices.Concat(s.waiting, s.decoding) {
		ids[j.id] = true
	}
	return ids
}

// slotWait returns how long it takes until the batch has a place for a request
// behind the waiting ones and so many others.
func (s *scheduler) slotWait(now time.Time, others int) time.Duration {
	missing := s.running() + len(s.waiting) + others + 1 - s.settings.batchLimit
	if missing <= 0 || len(s.decoding) == 0 {
		return 0
	}
	left := make([]int, len(s.decoding))
	for i, j := range s.decoding {
		left[i] = j.maxTokens - j.emitted
	}
	slices.Sort(left)
	steps := left[min(missing, len(left))-1]
	return s.nextStep.Sub(now) + time.Duration(steps-1)*s.settings.scaled(s.settings.decodeStep)
}
