package amrrouter

import (
	"sync"
	"time"

	"amaranthreach.example/core/amrretry"
)

// The budget of hedges: one for twenty answers, and few saved up.
const (
	hedgeRatio = 0.05
	hedgeBurst = 5
)

// retries shares the router's budgets between its requests.
type retries struct {
	mu     sync.Mutex
	budget *amrretry.Budget
	hedges *amrretry.Budget
}

func newRetries() *retries {
	return &retries{
		budget: amrretry.NewBudget(),
		hedges: amrretry.NewBudget(amrretry.WithRatio(hedgeRatio), amrretry.WithBurst(hedgeBurst), amrretry.WithPerSecond(0)),
	}
}

func (r *retries) success() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Success()
	r.hedges.Success()
}

func (r *retries) decide(now time.Time, policy amrretry.Policy, outcome amrretry.Outcome) amrretry.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return policy.Decide(now, outcome, r.budget)
}

func (r *retries) spendHedge(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hedges.Spend(now)
}
