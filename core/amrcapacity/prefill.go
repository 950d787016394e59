package amrcapacity

import (
	"slices"
	"time"
)

const (
	// priorWork is the busy time of a server that has as much weight as the median of
	// its pool.
	priorWork = 50 * time.Millisecond

	// blockWork is the busy time over which deliveries are added up before the estimate
	// changes: an engine that reads several prompts at once ends them in clumps.
	blockWork = 40 * time.Millisecond

	// maxBlockWork and maxBlockFactor limit by how much one outlier moves an estimate: the
	// weight of a block, and the factor by which it may differ from the estimate.
	maxBlockWork   = 100 * time.Millisecond
	maxBlockFactor = 3.0

	// maxOvertaken is the number of later requests that may be answered before a request.
	// One that waits longer is held up by something else than the work of the server.
	maxOvertaken = 16
)

// prefill estimates the time that a server takes for each prompt token: the time in which
// it had prompts to compute, divided by the tokens of the prompts that it completed in
// this time. Unlike the time to the first token of a single request, this does not depend
// on the order in which the server computes prompts.
type prefill struct {
	pending     []pendingPrompt // In the order in which they were sent.
	deliveredAt time.Time       // Time of the last first token.

	blockWork   time.Duration // Busy time that is not yet part of work.
	blockTokens float64

	computed ratio
	period   busyPeriod
}

// pendingPrompt is a prompt that is not known to be computed.
type pendingPrompt struct {
	request   uint64
	sentAt    time.Time
	tokens    int
	fetches   bool
	overtaken int
}

// delivery is a prompt that the server has computed.
type delivery struct {
	tokens  int
	fetched bool          // Whether parts of it were fetched.
	busy    time.Duration // Busy time since the previous delivery.
	known   bool          // Whether busy is known.
	took    time.Duration // Time to the first token.
	first   bool          // Whether the prompt began a busy period.
	last    bool          // Whether the prompt ended a busy period.
}

// pendingCount returns the number of pending prompts.
func (p *prefill) pendingCount() int {
	return len(p.pending)
}

// sent adds a pending prompt.
func (p *prefill) sent(now time.Time, o Sent) {
	p.pending = append(p.pending, pendingPrompt{request: o.Request, sentAt: now, tokens: o.Tokens, fetches: o.Fetches})
}

// busySince returns the time since when the server has had prompts to compute, apart from
// those that it may still be fetching parts for.
func (p *prefill) busySince(overhead time.Duration) (time.Time, bool) {
	for _, q := range p.pending {
		if q.fetches || q.overtaken >= maxOvertaken {
			continue
		}
		if start := q.sentAt.Add(overhead); start.After(p.deliveredAt) {
			return start, true
		}
		return p.deliveredAt, true
	}
	return time.Time{}, false
}

// busyTime returns the time for which the server has been busy since the last delivery.
func (p *prefill) busyTime(now time.Time, overhead time.Duration) time.Duration {
	since, ok := p.busySince(overhead)
	if !ok {
		return 0
	}
	return max(0, now.Sub(since))
}

// headTokens returns the number of tokens of the prompt that is probably being computed:
// the oldest one.
func (p *prefill) headTokens() float64 {
	for _, q := range p.pending {
		if !q.fetches && q.overtaken < maxOvertaken {
			return float64(q.tokens)
		}
	}
	return 0
}

// deliver removes the prompt that the server has computed. The server had nothing to compute
// before if the first token of the previous prompt came less than the latency after this
// prompt was sent. It returns false if the prompt was not pending.
func (p *prefill) deliver(now time.Time, request uint64, overhead, latency time.Duration) (delivery, bool) {
	i := slices.IndexFunc(p.pending, func(q pendingPrompt) bool { return q.request == request })
	if i < 0 {
		return delivery{}, false
	}
	q := p.pending[i]
	d := delivery{tokens: q.tokens, took: now.Sub(q.sentAt), fetched: q.fetches}
	if since, ok := p.busySince(overhead); ok {
		d.busy, d.known = max(0, now.Sub(since)), true
	}
	d.first = i == 0 && d.known && q.sentAt.Add(latency).After(p.deliveredAt)
	d.last = true
	for _, other := range p.pending {
		if other.request != request && !other.sentAt.Add(latency).After(now) {
			d.last = false
		}
	}
	for j := range p.pending[:i] {
		p.pending[j].overtaken++
	}
	p.pending = slices.Delete(p.pending, i, i+1)
	p.deliveredAt = now
	return d, true
}

// drop removes a prompt that was not computed, or not noticeably. It returns false if the
// prompt was not pending.
func (p *prefill) drop(request uint64) bool {
	i := slices.IndexFunc(p.pending, func(q pendingPrompt) bool { return q.request == request })
	if i < 0 {
		return false
	}
	p.pending = slices.Delete(p.pending, i, i+1)
	p.period.valid = false
	return true
}

// observePeriod adds the prompt to the busy period, which it returns if it has ended. A
// period that began with prompts which fetch parts, or in which the busy time is unknown
// for another reason, is not valid.
func (p *prefill) observePeriod(d delivery, pace float64) busyPeriod {
	work := d.busy
	if d.first {
		p.period, work = busyPeriod{valid: true}, d.took
	}
	p.period.valid = p.period.valid && d.known
	p.period.work += work.Seconds() / pace
	p.period.tokens += float64(d.tokens)
	if !d.last {
		return busyPeriod{}
	}
	ended := p.period
	p.period = busyPeriod{}
	return ended
}

// add adds busy time at the given pace in which the server computed the tokens.
func (p *prefill) add(now time.Time, busy time.Duration, tokens int, pace, median float64) {
	p.blockWork += time.Duration(float64(busy) / pace)
	p.blockTokens += float64(tokens)
	if p.blockWork < blockWork {
		return
	}
	known := p.tokenTime(now, median)
	work := min(p.blockWork, maxBlockWork).Seconds()
	perToken := known * maxBlockFactor
	if p.blockTokens > 0 {
		perToken = min(max(p.blockWork.Seconds()/p.blockTokens, known/maxBlockFactor), perToken)
	}
	p.computed.add(now, work, work/perToken)
	p.blockWork, p.blockTokens = 0, 0
}

// tokenTime returns the seconds for each token, with the median as prior.
func (p *prefill) tokenTime(now time.Time, median float64) float64 {
	decay, prior := p.computed.decay(now), priorWork.Seconds()
	t := (p.computed.work*decay + prior) / (p.computed.tokens*decay + prior/median)
	return min(max(t, median/maxRateFactor), median*maxRateFactor)
}
