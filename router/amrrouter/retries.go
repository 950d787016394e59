package amrrouter

import (
	"sync"
	"time"

	"amaranthreach.example/core/amrretry"
)

// The budget of hedges gains one hedge for each 20 completed responses, and saves up
// at most five.
const (
	hedgeRatio = 0.05
	hedgeBurst = 5
)

// retryBudgets holds the budgets for retries and hedges that all requests of the
// router share. It is safe for concurrent use.
type retryBudgets struct {
	mu          sync.Mutex
	retryBudget *amrretry.Budget
	hedgeBudget *amrretry.Budget
}

// newRetryBudgets returns new budgets.
func newRetryBudgets() *retryBudgets {
	return &retryBudgets{
		retryBudget: amrretry.NewBudget(),
		hedgeBudget: amrretry.NewBudget(amrretry.WithRatio(hedgeRatio), amrretry.WithBurst(hedgeBurst), amrretry.WithPerSecond(0)),
	}
}

// addSuccess adds a completed response to the budgets.
func (b *retryBudgets) addSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retryBudget.RecordSuccess()
	b.hedgeBudget.RecordSuccess()
}

// decide returns whether another attempt may be made. An attempt that repeats work
// is taken from the retry budget.
func (b *retryBudgets) decide(now time.Time, policy amrretry.Policy, outcome amrretry.Outcome) amrretry.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return policy.Decide(now, outcome, b.retryBudget)
}

// trySpendHedge takes a hedge from the budget. It returns false if none is left.
func (b *retryBudgets) trySpendHedge(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hedgeBudget.Spend(now)
}
