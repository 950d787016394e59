package amrengine

import (
	"slices"
	"time"

	"amaranthreach.example/core/amrprompt"
)

// PendingRequest is a request that the engine has not received yet but will
// receive before the request of a forecast.
type PendingRequest struct {
	RequestID    string
	Keys         []amrprompt.Key
	PromptTokens int
}

// Forecast estimates how the engine would serve a request with the block keys
// after all accepted and pending requests. It returns the time until the
// prefill of the request starts and the number of leading blocks that will be
// in the cache by then. It ignores pending requests that the engine has
// received in the meantime and that have not ended, and removes them from
// pending. It reports false if the engine does not accept requests now.
func (e *Engine) Forecast(pending []PendingRequest, keys []amrprompt.Key) (wait time.Duration, blocks int, up bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if !e.up() {
		return 0, 0, false
	}
	acceptedIDs := e.scheduler.jobIDs()
	pending = slices.DeleteFunc(pending, func(p PendingRequest) bool { return acceptedIDs[p.RequestID] })
	wait, blocks = e.scheduler.forecast(e.settings.clock.Now(), pending, keys)
	return wait, blocks, true
}

// forecast implements Engine.Forecast for pending requests of which none has
// arrived.
func (s *scheduler) forecast(now time.Time, pending []PendingRequest, keys []amrprompt.Key) (time.Duration, int) {
	pendingKeys := make(map[amrprompt.Key]bool)
	prefixBlocks := func(keys []amrprompt.Key) int {
		for i, k := range keys {
			if s.cache.blocks[k] == nil && s.upcomingBlocks[k] == 0 && !pendingKeys[k] {
				return i
			}
		}
		return len(keys)
	}
	tokens := s.waitingTokens(now)
	for _, p := range pending {
		tokens += max(1, p.PromptTokens-prefixBlocks(p.Keys)*amrprompt.TokensPerBlock)
		for _, k := range p.Keys {
			pendingKeys[k] = true
		}
	}
	wait := max(s.settings.prefillTime(tokens), s.slotWait(now, len(pending)))
	return wait, prefixBlocks(keys)
}

// jobIDs returns the request IDs of all jobs that have not ended.
func (s *scheduler) jobIDs() map[string]bool {
	jobIDs := make(map[string]bool)
	if s.prefill != nil {
		jobIDs[s.prefill.id] = true
	}
	for _, j := range slices.Concat(s.waiting, s.decoding) {
		jobIDs[j.id] = true
	}
	return jobIDs
}

// slotWait returns the time until the batch has a free slot for a request that
// is behind all waiting requests and the given number of others. It is an estimate:
// it assumes that no request is canceled and that no request which starts in
// that time also ends in it.
func (s *scheduler) slotWait(now time.Time, others int) time.Duration {
	excess := s.running() + len(s.waiting) + others + 1 - s.settings.batchLimit
	if excess <= 0 || len(s.decoding) == 0 {
		return 0
	}
	remaining := make([]int, len(s.decoding))
	for i, j := range s.decoding {
		remaining[i] = j.maxTokens - j.generatedTokens
	}
	slices.Sort(remaining)
	steps := remaining[min(excess, len(remaining))-1]
	return s.nextStep.Sub(now) + time.Duration(steps-1)*s.settings.scaled(s.settings.decodeStep)
}
