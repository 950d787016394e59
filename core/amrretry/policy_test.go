package amrretry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrretry"
)

func TestDecide(t *testing.T) {
	now := time.Unix(0, 0)
	idempotent := amrretry.Policy{MaxAttempts: 3, Deadline: now.Add(time.Second), MinTimeLeft: 100 * time.Millisecond, Idempotent: true}
	once := idempotent
	once.Idempotent = false
	tests := []struct {
		name    string
		policy  amrretry.Policy
		now     time.Time
		outcome amrretry.Outcome
		budget  float64
		want    amrretry.Decision
	}{
		{"engine lost", idempotent, now, amrretry.Outcome{Attempts: 1, Reason: amrreason.EngineLost, Ran: amrreason.Unknown}, 1, amrretry.Retry{}},
		{"no budget", idempotent, now, amrretry.Outcome{Attempts: 1, Reason: amrreason.EngineLost, Ran: amrreason.Unknown}, 0, amrretry.GiveUp{Reason: amrreason.EngineLost, Ran: amrreason.Unknown}},
		{"a decline is free", idempotent, now, amrretry.Outcome{Attempts: 1, Reason: amrreason.Overloaded, Ran: amrreason.NotRun, Declined: true}, 0, amrretry.Retry{}},
		{"no attempt left", idempotent, now, amrretry.Outcome{Attempts: 3, Reason: amrreason.Overloaded, Ran: amrreason.NotRun, Declined: true}, 1, amrretry.GiveUp{Reason: amrreason.Overloaded, Ran: amrreason.NotRun}},
		{"absent servers do not count", idempotent, now, amrretry.Outcome{Attempts: 4, Absent: 2, Reason: amrreason.Draining, Ran: amrreason.NotRun, Declined: true}, 1, amrretry.Retry{}},
		{"but not without end", idempotent, now, amrretry.Outcome{Attempts: 7, Absent: 7, Reason: amrreason.Draining, Ran: amrreason.NotRun, Declined: true}, 1, amrretry.GiveUp{Reason: amrreason.Draining, Ran: amrreason.NotRun}},
		{"no time left", idempotent, now.Add(950 * time.Millisecond), amrretry.Outcome{Attempts: 1, Reason: amrreason.EngineLost, Ran: amrreason.Unknown}, 1, amrretry.GiveUp{Reason: amrreason.DeadlineExceeded, Ran: amrreason.Unknown}},
		{"no use", idempotent, now, amrretry.Outcome{Attempts: 1, Reason: amrreason.Quarantined, Ran: amrreason.NotRun, Declined: true}, 1, amrretry.GiveUp{Reason: amrreason.Quarantined, Ran: amrreason.NotRun}},
		{"may have run", once, now, amrretry.Outcome{Attempts: 1, Reason: amrreason.EngineLost, Ran: amrreason.Unknown}, 1, amrretry.GiveUp{Reason: amrreason.EngineLost, Ran: amrreason.Unknown}},
		{"did not run", once, now, amrretry.Outcome{Attempts: 1, Reason: amrreason.Draining, Ran: amrreason.NotRun, Declined: true}, 1, amrretry.Retry{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			budget := amrretry.NewBudget(amrretry.WithBurst(test.budget), amrretry.WithPerSecond(0))
			is.New(t).Equal(test.policy.Decide(test.now, test.outcome, budget), test.want)
		})
	}
}

func TestBudget(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	budget := amrretry.NewBudget(amrretry.WithBurst(2), amrretry.WithRatio(0.25), amrretry.WithPerSecond(0.5))
	is.True(budget.Spend(now))
	is.True(budget.Spend(now))
	is.True(!budget.Spend(now)) // The burst is used up.
	for range 4 {
		budget.Success()
	}
	is.True(budget.Spend(now)) // Four successes pay for one retry.
	is.True(!budget.Spend(now))
	is.True(!budget.Spend(now.Add(time.Second)))
	is.True(budget.Spend(now.Add(2 * time.Second))) // The free rate.
	for range 100 {
		budget.Success()
	}
	is.True(budget.Spend(now.Add(2 * time.Second)))
	is.True(budget.Spend(now.Add(2 * time.Second)))
	is.True(!budget.Spend(now.Add(2 * time.Second))) // No more than the burst is saved up.
}
