// Package amrmemory holds the platform's services in memory: the table, the
// object store and the host list, with the faults that they are known to have.
// Tests and the stand-ins use it in place of the real services.
package amrmemory

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"amaranthreach.example/core/amrplatform"
)

// The rates that the services take by default, in calls per second.
const (
	DefaultWriteRate = 400
	DefaultReadRate  = 2000
)

// Platform implements amrplatform.Table, amrplatform.Objects and
// amrplatform.HostList. It is safe for concurrent use.
type Platform struct {
	clock clockwork.Clock

	mu       sync.Mutex
	rand     *rand.Rand
	faults   Faults
	counters Counters
	writes   *rate.Limiter
	reads    *rate.Limiter
	table    sortedMap[amrplatform.Item]
	versions map[string]uint64 // Last version of each key, deleted keys included.
	objects  sortedMap[[]byte]
	hosts    hostList
	delayed  []amrplatform.Txn // Transactions to be applied after the next call.
}

var (
	_ amrplatform.Table    = (*Platform)(nil)
	_ amrplatform.Objects  = (*Platform)(nil)
	_ amrplatform.HostList = (*Platform)(nil)
)

// New returns an empty platform without faults.
func New(opts ...Option) *Platform {
	p := &Platform{
		clock:    clockwork.NewRealClock(),
		rand:     rand.New(rand.NewPCG(1, 1)),
		writes:   newLimiter(DefaultWriteRate),
		reads:    newLimiter(DefaultReadRate),
		versions: make(map[string]uint64),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Option configures a Platform.
type Option func(*Platform)

// WithClock sets the clock that latencies, rates and lags go by.
func WithClock(clock clockwork.Clock) Option {
	return func(p *Platform) { p.clock = clock }
}

// WithSeed seeds the choice of the answers that are lost.
func WithSeed(seed uint64) Option {
	return func(p *Platform) { p.rand = rand.New(rand.NewPCG(seed, seed)) }
}

// WithRates sets the writes and reads per second that the services take. Zero
// lifts the limit.
func WithRates(writes, reads float64) Option {
	return func(p *Platform) {
		p.writes = newLimiter(writes)
		p.reads = newLimiter(reads)
	}
}

// newLimiter returns a limiter that allows a burst of one second.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Faults says how the services fail. The zero value is a platform in health.
type Faults struct {
	Down        bool          // Every call of the table and the object store is refused.
	HostsDown   bool          // Every call of the host list is refused.
	Latency     time.Duration // Time that each call takes.
	LostAnswers float64       // Fraction of the writes whose answer is lost after they took effect.
	LoseNext    int           // Number of coming writes whose answer is lost after they took effect.
	DelayNext   int           // Number of coming transactions whose answer is lost and that take effect only after the next call.
	HostLag     time.Duration // Age of what the host list shows.
}

// Counters counts the calls that the services took, refused calls included.
type Counters struct {
	Writes    uint64
	Reads     uint64
	HostReads uint64
	Refused   uint64
	Lost      uint64 // Writes that took effect and whose answer was lost.
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Faults returns the faults in force.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counters returns the number of calls so far.
func (p *Platform) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

// read runs f as one read after the latency in force.
func (p *Platform) read(ctx context.Context, f func() error) error {
	if err := p.pause(ctx); err != nil {
		return amrplatform.Unavailable.Wrap(err, "the read was given up: try again after a pause")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.Reads++
	if err := p.admit(p.reads); err != nil {
		return err
	}
	defer p.applyDelayed()
	return f()
}

// write runs f as one write and then waits for the latency in force, so that a
// write given up by its caller has taken effect.
func (p *Platform) write(ctx context.Context, f func() error) error {
	if err := ctx.Err(); err != nil {
		return amrplatform.Unavailable.Wrap(err, "the write was not sent: try again")
	}
	lost, err := p.writeNow(f)
	if err != nil {
		return err
	}
	if err := p.pause(ctx); err != nil {
		return amrplatform.OutcomeUnknown.Wrap(err, "the write was given up: read back by its token")
	}
	if lost {
		return amrplatform.OutcomeUnknown.New("the answer to the write was lost: read back by its token")
	}
	return nil
}

// writeNow runs f and reports whether its answer is to be lost.
func (p *Platform) writeNow(f func() error) (lost bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.Writes++
	if err := p.admit(p.writes); err != nil {
		return false, err
	}
	defer p.applyDelayed()
	if err := f(); err != nil {
		return false, err
	}
	if p.faults.LoseNext > 0 {
		p.faults.LoseNext--
		lost = true
	} else if p.faults.LostAnswers > 0 && p.rand.Float64() < p.faults.LostAnswers {
		lost = true
	}
	if lost {
		p.counters.Lost++
	}
	return lost, nil
}

// admit refuses a call while the services are down or over their rate.
func (p *Platform) admit(limiter *rate.Limiter) error {
	if p.faults.Down {
		p.counters.Refused++
		return amrplatform.Unavailable.New("the service is down: try again after a pause")
	}
	if !limiter.AllowN(p.clock.Now(), 1) {
		p.counters.Refused++
		return amrplatform.Unavailable.New("the service is over its rate: try again after a pause")
	}
	return nil
}

// pause waits for the latency in force or for the end of the context.
func (p *Platform) pause(ctx context.Context) error {
	latency := p.Faults().Latency
	if latency <= 0 {
		return ctx.Err()
	}
	timer := p.clock.NewTimer(latency)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
