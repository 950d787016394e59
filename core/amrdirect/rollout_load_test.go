package amrdirect

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"amaranthreach.example/core/amrfollow"
	"amaranthreach.example/core/amrorder"
	"amaranthreach.example/core/amrpool"
)

// newTestRollout returns the rollout of newer weights to engines of a pool.
func newTestRollout(engines int, options ...amrpool.Option) *rollout {
	clock := clockwork.NewFakeClock()
	fleet := amrpool.New(append(options, amrpool.WithStaleWeights(amrpool.StaleBounds{After: 1500 * time.Millisecond, Limit: 13 * time.Second, Start: 15 * time.Second}))...)
	for i := range engines {
		fleet.UpdateServer(amrpool.Listing{Name: fmt.Sprintf("e%02d", i), Pool: "engines", Weights: map[string]int{"m1": 1}})
	}
	fleet.SetTarget(clock.Now(), "m1", 2)
	return &rollout{
		fleet: fleet, boot: clock, clock: clock, log: slog.Default(), host: "own", notify: func() {},
		pools:    func() map[string][]string { return map[string][]string{"m1": {"engines"}} },
		lease:    amrorder.NewFollowedLease(clock.Now(), leaseKey, "own", "own-1", leaseTTL),
		handover: newHandover(clock.Now(), "own", 0),
		upgrades: make(map[string]*amrorder.Upgrade), changes: make(map[string]amrpool.WeightsChange),
		announcedChanges: make(map[string]amrpool.WeightsChange),
		orderTimes:       make(orderNotes),
		declared:         newDeclarationTimes(), dated: make(map[TargetWeights]time.Duration),
		reading:   func() amrfollow.Reading { return amrfollow.Reading{} },
		tableTime: &tableTime{}, tableNow: func() time.Duration { return 0 },
	}
}

// TestRolloutPlansUnderLoad guards against plans that change in pools which do not admit by
// urgency, and against those that ignore the load of the others.
func TestRolloutPlansUnderLoad(t *testing.T) {
	for name, test := range map[string]struct {
		options []amrpool.Option
		refused int
		planned int // Of 56 engines.
	}{
		"in turn":              {nil, 0, 19},
		"in turn, overloaded":  {nil, 50, 19},
		"by urgency":           {[]amrpool.Option{amrpool.WithAdmissionByUrgency()}, 0, 11},
		"by urgency, overload": {[]amrpool.Option{amrpool.WithAdmissionByUrgency()}, 50, 10},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newTestRollout(56, test.options...)
			for range test.refused {
				r.fleet.RecordRefusal(r.clock.Now(), "engines")
			}
			planned := r.plan(r.boot.Now())
			is.Equal(len(planned), test.planned)

			registry := prometheus.NewRegistry()
			registry.MustRegister(newRolloutCollector(r))
			families, err := registry.Gather()
			is.NoErr(err)
			if len(test.options) == 0 {
				is.Equal(len(families), 0)
				return
			}
			is.Equal(families[0].GetName(), "amr_rollout_away")
			is.Equal(families[0].GetMetric()[0].GetGauge().GetValue(), float64(test.planned))
		})
	}
}

// deadEngines is an EngineClient of engines that do not answer.
type deadEngines struct{ EngineClient }

func (deadEngines) Report(context.Context, string, string) (EngineReport, error) {
	return EngineReport{}, errors.New("no answer")
}

// TestEngineThatDoesNotAnswer guards against an engine that is down, which this router does
// not know, and whose changes take the place of those of other engines.
func TestEngineThatDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	r := newTestRollout(1, amrpool.WithAdmissionByUrgency())
	r.deps.Engines, r.clock = deadEngines{}, clockwork.NewRealClock()
	planned := r.plan(r.boot.Now())
	is.Equal(len(planned), 1)
	is.Equal(r.upgrade("m1").Status().Away, 1)
	r.runChange(t.Context(), planned[0])
	is.Equal(r.upgrade("m1").Status().Away, 0)
	planned = r.plan(r.boot.Now().Add(time.Second))
	is.Equal(len(planned), 1) // It is tried again, in case it is back.
	is.Equal(r.upgrade("m1").Status().Away, 0)
}

// TestWeightsBound checks that the bound is derived from the age that settings make of it.
func TestWeightsBound(t *testing.T) {
	is := is.New(t)
	for bound, staleLimit := range map[time.Duration]time.Duration{15 * time.Second: 13 * time.Second, 3 * time.Second: 1500 * time.Millisecond} {
		is.Equal(weightsBound(staleLimit), bound)
	}
}
