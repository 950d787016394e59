package amrrouter

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrlimit"
	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrtick"
)

const (
	limitsInterval = 250 * time.Millisecond // Between looks at what is due to be reported.
	accountCalls   = 8                      // Accountants called at once.
)

// limits holds the limits of teams.
type limits struct {
	self  string
	clock clockwork.Clock
	hosts *hosts
	peers *peers

	mu       sync.Mutex
	limiter  *amrlimit.Limiter
	accounts amrlimit.Allocator
}

func newLimits(self string, clock clockwork.Clock, hosts *hosts, peers *peers) *limits {
	return &limits{self: self, clock: clock, hosts: hosts, peers: peers, limiter: amrlimit.NewLimiter(self)}
}

// admit counts the request against the limits of its team, or refuses it. An
// admitted request is released at its end.
func (l *limits) admit(q *request) *refusal {
	estimated := amrprompt.Tokens(q.prompt) + q.maxTokens
	l.mu.Lock()
	defer l.mu.Unlock()
	verdict := l.limiter.Admit(l.clock.Now(), q.team, amrlimit.LimitsOf(q.teamSpec), estimated)
	if !verdict.Admitted {
		return refuse(amrreason.TeamLimit, verdict.Dimension.String()).withRetryAfter(verdict.RetryAfter)
	}
	q.release = func(used int) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.limiter.Release(q.team, estimated, used)
	}
	return nil
}

// account gives out shares to a router.
func (l *limits) account(router string, usages []amrlimit.Usage) []amrlimit.Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accounts.Report(l.clock.Now(), router, usages)
}

// run reports to the accountants until ctx is done.
func (l *limits) run(ctx context.Context) error {
	amrtick.Every(ctx, l.clock, limitsInterval, func() { l.report(ctx) })
	return nil
}

// report tells each accountant what is due. A call that fails is made good by
// the next report.
func (l *limits) report(ctx context.Context) {
	now := l.clock.Now()
	l.mu.Lock()
	l.limiter.SetRouters(l.hosts.answering())
	l.accounts.Expire(now)
	due := l.limiter.DueReports(now)
	l.mu.Unlock()
	var g errgroup.Group
	g.SetLimit(accountCalls)
	for accountant, usages := range due {
		g.Go(func() error {
			l.granted(l.ask(ctx, accountant, usages))
			return nil
		})
	}
	_ = g.Wait() // The calls return no errors.
}

func (l *limits) ask(ctx context.Context, accountant string, usages []amrlimit.Usage) []amrlimit.Grant {
	if accountant == l.self {
		return l.account(l.self, usages)
	}
	peer, ok := l.hosts.named(accountant)
	if !ok {
		return nil
	}
	grants, err := l.peers.account(ctx, peer.Address, l.self, usages)
	l.hosts.called(accountant, err)
	if err != nil {
		return nil
	}
	return grants
}

func (l *limits) granted(grants []amrlimit.Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.ApplyGrants(l.clock.Now(), grants)
}
