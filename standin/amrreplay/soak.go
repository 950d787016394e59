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
	soakLoad      = 0.25            // Of the engines' prefill speed.
	soakTokens    = 20000           // Prefill speed of an engine, in tokens per second.
	soakMeanGap   = 2 * time.Second // Between faults.
	soakQuiet     = 5 * time.Second // Without new faults, at both ends.
	soakShortest  = 200 * time.Millisecond
	soakSpread    = 3 * time.Second // Of how long a fault lasts beyond the shortest.
	soakGoodput   = 0.9             // Least goodput against the run without faults.
	soakRollouts  = 2               // Versions of the weights that rollouts go back and forth between.
	soakFirstName = 1
)

var soakFailed = namespace.NewType("soak-failed")

// SoakCommand returns the command "soak".
func SoakCommand() *cobra.Command {
	var duration time.Duration
	var seed uint64
	var engines, routers int
	c := &cobra.Command{
		Use:   "soak",
		Short: "Play a trace with faults of all kinds at random, and then without",
		Long: `Play a trace for the duration with faults of all kinds at random times, and then once
more without faults. Fails when a request is lost, a non-idempotent one runs twice, a refusal is
untrue, or the goodput is below 0.9 of that without faults. A seed always gives the same trace and
the same faults.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if duration < 4*soakQuiet || engines < 1 || routers < 1 {
				return badFlag.New("--duration, --engines and --routers: give at least %v, 1 and 1", 4*soakQuiet)
			}
			return soak(c, duration, seed, engines, routers)
		},
	}
	c.Flags().DurationVar(&duration, "duration", 5*time.Minute, "length of the trace")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the trace and the faults")
	c.Flags().IntVar(&engines, "engines", defaultEngines, "number of engines")
	c.Flags().IntVar(&routers, "routers", defaultRouters, "number of routers")
	return c
}

func soak(c *cobra.Command, duration time.Duration, seed uint64, engines, routers int) error {
	out := c.OutOrStdout()
	requests, err := amrtrace.Make(amrtrace.Parameters{
		Workload: amrtrace.Mandacaru, Load: soakLoad, Duration: duration, Seed: seed, Engines: engines, TokensPerSecond: soakTokens,
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
		writeSoak(out, len(f), results[i])
	}
	return judge(out, results[0], results[1])
}

func writeSoak(w io.Writer, faults int, r Result) {
	fmt.Fprintf(w, "faults %d: requests %d, answered %d, refused %d, lost %d, doubled %d, false refusals %d, cut %d, wrong %d, resent %d, TTFT p50 %v p99 %v\n",
		faults, r.Requests, r.Answered, r.Refused, r.Lost, r.Doubled, r.Details.Causes.FalseRefusal, r.Details.Causes.Cut,
		r.Details.Causes.Wrong, r.Details.Causes.Resent, r.TTFT50.Round(time.Millisecond), r.TTFT99.Round(time.Millisecond))
	for reason, n := range r.Details.Refusals {
		fmt.Fprintf(w, "  refused %s: %d\n", reason, n)
	}
}

// judge compares the run with faults to that without.
func judge(w io.Writer, with, without Result) error {
	goodput := float64(with.Answered) / float64(max(without.Answered, 1))
	fmt.Fprintf(w, "goodput %.3f of the run without faults\n", goodput)
	if with.Lost > 0 || with.Doubled > 0 || without.Lost > 0 || without.Doubled > 0 || goodput < soakGoodput {
		return soakFailed.New("lost %d, doubled %d, goodput %.3f: look at the refusals and run the seed again", with.Lost, with.Doubled, goodput)
	}
	return nil
}

// randomFaults draws faults of all kinds over the duration.
func randomFaults(random *rand.Rand, duration time.Duration, engines, routers int) Faults {
	var faults Faults
	at := soakQuiet
	for {
		at += time.Duration(random.ExpFloat64() * float64(soakMeanGap))
		if at > duration-soakQuiet {
			return faults
		}
		faults = append(faults, randomFault(random, at.Round(time.Millisecond), engines, routers))
	}
}

func randomFault(random *rand.Rand, at time.Duration, engines, routers int) Fault {
	name := func(kind string, n int) string { return kind + strconv.Itoa(soakFirstName+random.IntN(n)) }
	f := Fault{
		At:   at,
		Kind: faultKinds[random.IntN(len(faultKinds))],
		For:  soakShortest + time.Duration(random.Int64N(int64(soakSpread))).Round(time.Millisecond),
	}
	switch f.Kind {
	case FaultCrash, FaultRestart:
		f.Target = []string{name(engineName, engines), name(routerName, routers), name(sidecarName, engines)}[random.IntN(3)]
	case FaultDrain, FaultFreeze, FaultEventGap:
		f.Target = name(engineName, engines)
	case FaultRouterRestart:
		f.Target = name(routerName, routers)
	case FaultRollout:
		f.Target = "w" + strconv.Itoa(soakFirstName+random.IntN(soakRollouts))
	}
	return f
}
