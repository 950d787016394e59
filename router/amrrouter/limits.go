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
	// usageReportCheckInterval is the time between two checks for reports that
	// are due.
	usageReportCheckInterval = 250 * time.Millisecond

	// maxConcurrentUsageReports limits the concurrent calls to allocating
	// routers.
	maxConcurrentUsageReports = 8
)

// teamLimits enforces the limits of teams at this router. The routers share each
// limit: one of them, the allocating router of the team, grants each router a
// share according to the usage that the routers report to it. teamLimits
// implements both sides. It is safe for concurrent use.
type teamLimits struct {
	self         string
	clock        clockwork.Clock
	hostRegistry *hostRegistry
	peerClient   *peerClient

	mu        sync.Mutex
	limiter   *amrlimit.Limiter
	allocator amrlimit.Allocator
}

// newTeamLimits returns the limits for the router with the name self.
func newTeamLimits(self string, clock clockwork.Clock, hostRegistry *hostRegistry, peerClient *peerClient) *teamLimits {
	return &teamLimits{self: self, clock: clock, hostRegistry: hostRegistry, peerClient: peerClient, limiter: amrlimit.NewLimiter(self)}
}

// admit counts the request, with an estimate of its tokens, against the limits of
// its team. It returns a refusal if a limit is reached. For an admitted request,
// it sets q.releaseLimits, which must be called with the number of tokens used
// when the request ends.
func (l *teamLimits) admit(q *request) *refusal {
	estimated := amrprompt.CountTokens(q.prompt) + q.maxTokens
	l.mu.Lock()
	defer l.mu.Unlock()
	verdict := l.limiter.Admit(l.clock.Now(), q.team, amrlimit.LimitsOf(q.teamSpec), estimated)
	if !verdict.Admitted {
		return newRefusal(amrreason.TeamLimit, verdict.Dimension.String()).withRetryAfter(verdict.RetryAfter)
	}
	q.releaseLimits = func(used int) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.limiter.Release(q.team, estimated, used)
	}
	return nil
}

// allocate returns the shares that this router, as the allocating router, grants
// to the named router for the usages that the named router reports.
func (l *teamLimits) allocate(router string, usages []amrlimit.Usage) []amrlimit.Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allocator.Report(l.clock.Now(), router, usages)
}

// run reports usages to the allocating routers until ctx is done. It always
// returns nil.
func (l *teamLimits) run(ctx context.Context) error {
	amrtick.Every(ctx, l.clock, usageReportCheckInterval, func() { l.reportUsage(ctx) })
	return nil
}

// reportUsage sends each allocating router the usages that are due and applies the
// shares that it grants. A report that fails is repeated at a later interval.
func (l *teamLimits) reportUsage(ctx context.Context) {
	now := l.clock.Now()
	l.mu.Lock()
	l.limiter.SetRouters(l.hostRegistry.reachableRouters())
	l.allocator.Expire(now)
	due := l.limiter.DueReports(now)
	l.mu.Unlock()
	var g errgroup.Group
	g.SetLimit(maxConcurrentUsageReports)
	for allocatorName, usages := range due {
		g.Go(func() error {
			l.applyGrants(l.requestGrants(ctx, allocatorName, usages))
			return nil
		})
	}
	_ = g.Wait() // The functions return nil.
}

// requestGrants returns the shares that the allocating router grants for the
// usages, or none if it cannot be called.
func (l *teamLimits) requestGrants(ctx context.Context, allocatorName string, usages []amrlimit.Usage) []amrlimit.Grant {
	if allocatorName == l.self {
		return l.allocate(l.self, usages)
	}
	peer, ok := l.hostRegistry.otherRouter(allocatorName)
	if !ok {
		return nil
	}
	grants, err := l.peerClient.allocate(ctx, peer.Address, l.self, usages)
	l.hostRegistry.recordCall(allocatorName, err)
	if err != nil {
		return nil
	}
	return grants
}

// applyGrants sets the shares of this router.
func (l *teamLimits) applyGrants(grants []amrlimit.Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.ApplyGrants(l.clock.Now(), grants)
}
