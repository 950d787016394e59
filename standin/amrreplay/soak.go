package amrreplay

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"amaranthreach.example/core/amrrecord"
	"amaranthreach.example/standin/amrtrace"
)

const (
	soakLoad              = 0.25            // The load is a fraction of the engines' prefill speed.
	soakPrefillRate       = 20000           // The prefill speed of an engine is in tokens per second.
	soakMeanFaultInterval = 2 * time.Second // Faults start at random times with this mean interval.
	soakFaultFreeTime     = 5 * time.Second // No fault starts within this time of either end of the trace.
	soakMinFaultDuration  = 200 * time.Millisecond
	// Durations of faults are uniform from soakMinFaultDuration over this
	// range.
	soakFaultDurationRange = 3 * time.Second
	// The goodput must be at least this fraction of that of the run without
	// faults.
	soakMinGoodput      = 0.9
	soakWeightsVersions = 2 // Rollouts switch between this many weights versions.
	soakFirstNumber     = 1 // Processes and weights versions are numbered from this number.
)

// soakFailed is the type of the error if a soak run violates its limits.
var soakFailed = namespace.NewType("soak-failed")

// SoakCommand returns the command "soak", which replays a trace with random
// faults and compares the result with a replay without faults.
func SoakCommand() *cobra.Command {
	var duration time.Duration
	var seed uint64
	var engines, routers int
	c := &cobra.Command{
		Use:   "soak",
		Short: "Replay a trace with random faults of all kinds, and then without faults",
		Long: `Replay a generated trace with faults of all kinds at random times, and then once more
without faults. The command fails if a request is lost, if a non-idempotent request runs twice, if
a refusal wrongly claims that a request did not run, or if the goodput is below 0.9 of that without
faults. The same seed always gives the same trace and the same faults.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if duration < 4*soakFaultFreeTime || engines < 1 || routers < 1 {
				return badFlag.New("--duration must be at least %v, and --engines and --routers must be at least 1", 4*soakFaultFreeTime)
			}
			return runSoak(c, duration, seed, engines, routers)
		},
	}
	c.Flags().DurationVar(&duration, "duration", 5*time.Minute, "length of the trace")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the trace and the faults")
	c.Flags().IntVar(&engines, "engines", defaultEngines, "number of engines")
	c.Flags().IntVar(&routers, "routers", defaultRouters, "number of routers")
	return c
}

func runSoak(c *cobra.Command, duration time.Duration, seed uint64, engines, routers int) error {
	out := c.OutOrStdout()
	requests, err := amrtrace.Generate(amrtrace.Parameters{
		Workload: amrtrace.Mandacaru, Load: soakLoad, Duration: duration, Seed: seed, Engines: engines, TokensPerSecond: soakPrefillRate,
	})
	if err != nil {
		return err
	}
	faults := randomFaults(rand.New(rand.NewPCG(seed, seed)), duration, engines, routers)
	fmt.Fprintf(out, "seed %d, duration %v, %d requests, %d faults\n", seed, duration, len(requests), len(faults))
	var results [2]Result
	for i, f := range []Faults{faults, nil} {
		replay := New(requests, WithEngines(engines), WithRouters(routers), WithFaults(f), WithProgress(c.ErrOrStderr()))
		results[i], err = replay.Run(c.Context(), string(amrrecord.PolicyCacheAware))
		if err != nil && !errorx.IsOfType(err, distorted) {
			return err
		}
		writeSoakResult(out, len(f), results[i])
	}
	return checkSoak(out, results[0], results[1])
}

func writeSoakResult(w io.Writer, faults int, r Result) {
	fmt.Fprintf(w, "faults %d: requests %d, answered %d, refused %d, lost %d, doubled %d, false refusals %d, truncated answers %d, wrong answers %d, resent %d, TTFT p50 %v p99 %v\n",
		faults, r.Requests, r.Answered, r.Refused, r.Lost, r.DuplicateRuns, r.Details.FailureCounts.FalseRefusal, r.Details.FailureCounts.Cut,
		r.Details.FailureCounts.Wrong, r.Details.FailureCounts.Resent, r.TTFT50.Round(time.Millisecond), r.TTFT99.Round(time.Millisecond))
	for reason, n := range r.Details.Refusals {
		fmt.Fprintf(w, "  refused %s: %d\n", reason, n)
	}
}

// checkSoak writes the goodput of the run with faults relative to the run
// without faults. It returns an error if either run lost or duplicated a
// request, or if the goodput is below soakMinGoodput.
func checkSoak(w io.Writer, withFaults, withoutFaults Result) error {
	goodput := float64(withFaults.Answered) / float64(max(withoutFaults.Answered, 1))
	fmt.Fprintf(w, "goodput relative to the run without faults: %.3f\n", goodput)
	if withFaults.Lost > 0 || withFaults.DuplicateRuns > 0 || withoutFaults.Lost > 0 || withoutFaults.DuplicateRuns > 0 || goodput < soakMinGoodput {
		return soakFailed.New("the run with faults lost %d requests, ran %d requests twice and had a relative goodput of %.3f: check the refusals and repeat the run with the same seed", withFaults.Lost, withFaults.DuplicateRuns, goodput)
	}
	return nil
}

// randomFaults returns faults of random kinds, ordered by time, for a trace of
// the given duration.
func randomFaults(random *rand.Rand, duration time.Duration, engines, routers int) Faults {
	var faults Faults
	at := soakFaultFreeTime
	for {
		at += time.Duration(random.ExpFloat64() * float64(soakMeanFaultInterval))
		if at > duration-soakFaultFreeTime {
			return faults
		}
		faults = append(faults, randomFault(random, at.Round(time.Millisecond), engines, routers))
	}
}

// randomFault returns a fault of a random kind, duration and target that starts
// at the given time.
func randomFault(random *rand.Rand, at time.Duration, engines, routers int) Fault {
	name := func(prefix string, n int) string { return prefix + strconv.Itoa(soakFirstNumber+random.IntN(n)) }
	f := Fault{
		At:   at,
		Kind: faultKinds[random.IntN(len(faultKinds))],
		For:  soakMinFaultDuration + time.Duration(random.Int64N(int64(soakFaultDurationRange))).Round(time.Millisecond),
	}
	switch f.Kind {
	case FaultCrash, FaultRestart:
		f.Target = []string{name(enginePrefix, engines), name(routerPrefix, routers), name(sidecarPrefix, engines)}[random.IntN(3)]
	case FaultDrain, FaultFreeze, FaultEventGap:
		f.Target = name(enginePrefix, engines)
	case FaultRouterRestart:
		f.Target = name(routerPrefix, routers)
	case FaultRollout:
		f.Target = "w" + strconv.Itoa(soakFirstNumber+random.IntN(soakWeightsVersions))
	}
	return f
}
