package amrretry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrretry"
)

// TestDecide checks Policy.Decide for a request at time 0 whose deadline is one
// second later. Budget is the number of retries in the budget.
func TestDecide(t *testing.T) {
	now := time.Unix(0, 0)
	idempotent := amrretry.Policy{MaxAttempts: 3, Deadline: now.Add(time.Second), MinTimeLeft: 100 * time.Millisecond, Idempotent: true}
	nonIdempotent := idempotent
	nonIdempotent.Idempotent = false
	tests := []struct {
		name    string
		policy  amrretry.Policy
		now     time.Time
		outcome amrretry.Outcome
		budget  float64
		want    amrretry.Decision
	}{
		{"engine lost", idempotent, now, amrretry.Outcome{Attempts: 1, Reason: amrreason.EngineLost, Ran: amrreason.RunUnknown}, 1, amrretry.Retry{}},
		{"no budget", idempotent, now, amrretry.Outcome{Attempts: 1, Reason: amrreason.EngineLost, Ran: amrreason.RunUnknown}, 0, amrretry.GiveUp{Reason: amrreason.EngineLost, Ran: amrreason.RunUnknown}},
		{"declined without budget", idempotent, now, amrretry.Outcome{Attempts: 1, Reason: amrreason.Overloaded, Ran: amrreason.NotRun, Declined: true}, 0, amrretry.Retry{}},
		{"no attempts left", idempotent, now, amrretry.Outcome{Attempts: 3, Reason: amrreason.Overloaded, Ran: amrreason.NotRun, Declined: true}, 1, amrretry.GiveUp{Reason: amrreason.Overloaded, Ran: amrreason.NotRun}},
		{"unavailable servers do not count", idempotent, now, amrretry.Outcome{Attempts: 4, Unavailable: 2, Reason: amrreason.Draining, Ran: amrreason.NotRun, Declined: true}, 1, amrretry.Retry{}},
		{"too many unavailable servers", idempotent, now, amrretry.Outcome{Attempts: 7, Unavailable: 7, Reason: amrreason.Draining, Ran: amrreason.NotRun, Declined: true}, 1, amrretry.GiveUp{Reason: amrreason.Draining, Ran: amrreason.NotRun}},
		{"no time left", idempotent, now.Add(950 * time.Millisecond), amrretry.Outcome{Attempts: 1, Reason: amrreason.EngineLost, Ran: amrreason.RunUnknown}, 1, amrretry.GiveUp{Reason: amrreason.DeadlineExceeded, Ran: amrreason.RunUnknown}},
		{"not retryable", idempotent, now, amrretry.Outcome{Attempts: 1, Reason: amrreason.Quarantined, Ran: amrreason.NotRun, Declined: true}, 1, amrretry.GiveUp{Reason: amrreason.Quarantined, Ran: amrreason.NotRun}},
		{"non-idempotent, may have run", nonIdempotent, now, amrretry.Outcome{Attempts: 1, Reason: amrreason.EngineLost, Ran: amrreason.RunUnknown}, 1, amrretry.GiveUp{Reason: amrreason.EngineLost, Ran: amrreason.RunUnknown}},
		{"non-idempotent, did not run", nonIdempotent, now, amrretry.Outcome{Attempts: 1, Reason: amrreason.Draining, Ran: amrreason.NotRun, Declined: true}, 1, amrretry.Retry{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			budget := amrretry.NewBudget(amrretry.WithBurst(test.budget), amrretry.WithPerSecond(0))
			is.New(t).Equal(test.policy.Decide(test.now, test.outcome, budget), test.want)
		})
	}
}

// TestBudget checks that retries are limited to the burst, to the ratio of the
// successes and to the constant rate.
func TestBudget(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	budget := amrretry.NewBudget(amrretry.WithBurst(2), amrretry.WithRatio(0.25), amrretry.WithPerSecond(0.5))
	is.True(budget.Spend(now))
	is.True(budget.Spend(now))
	is.True(!budget.Spend(now)) // The burst is exhausted.
	for range 4 {
		budget.RecordSuccess()
	}
	is.True(budget.Spend(now)) // Four successes add one retry.
	is.True(!budget.Spend(now))
	is.True(!budget.Spend(now.Add(time.Second)))
	is.True(budget.Spend(now.Add(2 * time.Second))) // Half a retry is added each second.
	for range 100 {
		budget.RecordSuccess()
	}
	is.True(budget.Spend(now.Add(2 * time.Second)))
	is.True(budget.Spend(now.Add(2 * time.Second)))
	is.True(!budget.Spend(now.Add(2 * time.Second))) // The budget holds no more than the burst.
}
