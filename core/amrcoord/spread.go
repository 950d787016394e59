package amrcoord

import (
	"time"

	"amaranthreach.example/core/amrpool"
)

// spreadLogInterval is the time without hot prefixes in a pool after which the next one
// is logged.
const spreadLogInterval = 10 * time.Second

// recordSpread counts the request if its prefix is hot, and logs the first such request.
func (p *Placer) recordSpread(r *amrpool.Request) {
	if !r.Spread {
		return
	}
	p.metrics.spread.Inc()
	now := p.clock.Now()
	p.mu.Lock()
	last, known := p.spreadAt[r.Pool]
	p.spreadAt[r.Pool] = now
	p.mu.Unlock()
	if !known || now.Sub(last) >= spreadLogInterval {
		p.log.Info("prefix is hot; its requests go to several placement groups", "pool", r.Pool, "model", r.Model)
	}
}
