// Package amrmemory implements the platform's services in memory: the table, the
// object store and the host list. It can simulate the faults that the real
// services are known to have. Tests and the stand-in programs use it in place of
// the real services.
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

// The default limits on the rates of writes and reads, in calls per second.
const (
	DefaultWriteRate = 400
	DefaultReadRate  = 2000
)

// Platform implements amrplatform.Table, amrplatform.ObjectStore and
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
	versions map[string]uint64 // Last version of each table key, including deleted keys.
	objects  sortedMap[[]byte]
	hosts    hostList
	delayed  []amrplatform.Txn // Transactions to apply at the end of the next call that is admitted.
}

var (
	_ amrplatform.Table       = (*Platform)(nil)
	_ amrplatform.ObjectStore = (*Platform)(nil)
	_ amrplatform.HostList    = (*Platform)(nil)
)

// New returns an empty platform that simulates no faults. By default it uses the
// real clock, a fixed seed and the default rate limits.
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

// WithClock sets the clock that is used for latencies, rate limits and the lag of
// the host list.
func WithClock(clock clockwork.Clock) Option {
	return func(p *Platform) { p.clock = clock }
}

// WithSeed sets the seed of the random choice of writes whose answer is lost.
func WithSeed(seed uint64) Option {
	return func(p *Platform) { p.rand = rand.New(rand.NewPCG(seed, seed)) }
}

// WithRates sets the limits on the rates of writes and reads, in calls per
// second. Zero means no limit.
func WithRates(writes, reads float64) Option {
	return func(p *Platform) {
		p.writes = newLimiter(writes)
		p.reads = newLimiter(reads)
	}
}

// newLimiter returns a rate limiter whose burst is the number of calls allowed in
// one second.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Faults describes the faults to simulate. The zero value simulates none.
type Faults struct {
	Down      bool          // Refuse every call to the table and the object store.
	HostsDown bool          // Refuse every call to the host list.
	Latency   time.Duration // Duration of each call.

	// LostAnswerRate is the fraction of writes, from 0 to 1, that take effect but
	// return an error of kind OutcomeUnknown.
	LostAnswerRate float64

	// LoseNextAnswers is the number of writes, beginning with the next one, that
	// take effect but return an error of kind OutcomeUnknown.
	LoseNextAnswers int

	// DelayNextTxns is the number of transactions, beginning with the next one,
	// that return an error of kind OutcomeUnknown and take effect only at the end
	// of the next call that is neither delayed nor refused.
	DelayNextTxns int

	HostLag time.Duration // Delay until changes become visible in the host list.
}

// Counters counts the calls to the services.
type Counters struct {
	Writes      uint64 // Writes to the table and the object store, including refused ones.
	Reads       uint64 // Reads from the table and the object store, including refused ones.
	HostReads   uint64 // Reads of the host list, including refused ones.
	Refused     uint64 // Calls refused because a service was down or over its rate limit.
	LostAnswers uint64 // Writes whose answer was lost, including delayed ones.
}

// SetFaults replaces the faults to simulate.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Faults returns the faults that are simulated at present. LoseNextAnswers and
// DelayNextTxns count down as they take effect.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counters returns the numbers of calls so far.
func (p *Platform) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

// read waits for the simulated latency and then runs f as one read.
func (p *Platform) read(ctx context.Context, f func() error) error {
	if err := p.waitLatency(ctx); err != nil {
		return amrplatform.Unavailable.Wrap(err, "the read was canceled or timed out: try again after a pause")
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

// write runs f as one write and then waits for the simulated latency. The wait
// comes last so that a write whose caller gives up waiting has taken effect.
func (p *Platform) write(ctx context.Context, f func() error) error {
	if err := ctx.Err(); err != nil {
		return amrplatform.Unavailable.Wrap(err, "the write was not sent: try again")
	}
	lost, err := p.applyWrite(f)
	if err != nil {
		return err
	}
	if err := p.waitLatency(ctx); err != nil {
		return amrplatform.OutcomeUnknown.Wrap(err, "the write was canceled or timed out: read the key again to see whether it took effect")
	}
	if lost {
		return amrplatform.OutcomeUnknown.New("the answer to the write was lost: read the key again to see whether the write took effect")
	}
	return nil
}

// applyWrite runs f as one write without latency, and reports whether its answer
// is to be lost.
func (p *Platform) applyWrite(f func() error) (lost bool, err error) {
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
	if p.faults.LoseNextAnswers > 0 {
		p.faults.LoseNextAnswers--
		lost = true
	} else if p.faults.LostAnswerRate > 0 && p.rand.Float64() < p.faults.LostAnswerRate {
		lost = true
	}
	if lost {
		p.counters.LostAnswers++
	}
	return lost, nil
}

// admit returns an error of kind Unavailable and counts the call as refused if
// the services are down or the rate limit is exceeded. p.mu must be held.
func (p *Platform) admit(limiter *rate.Limiter) error {
	if p.faults.Down {
		p.counters.Refused++
		return amrplatform.Unavailable.New("the service is down: try again after a pause")
	}
	if !limiter.AllowN(p.clock.Now(), 1) {
		p.counters.Refused++
		return amrplatform.Unavailable.New("rate limit exceeded: try again after a pause")
	}
	return nil
}

// waitLatency waits for the simulated latency. It returns the error of ctx if ctx
// is done first.
func (p *Platform) waitLatency(ctx context.Context) error {
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
