package amrtrace

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"
)

const (
	defaultEngines         = 12
	defaultTokensPerSecond = 20000
)

// Command returns the command "trace", which generates a trace and writes it to
// standard output. It writes the number of requests, the number of distinct
// blocks and the ideal hit rate to standard error.
func Command() *cobra.Command {
	p := Parameters{TokensPerSecond: defaultTokensPerSecond}
	var seconds float64
	c := &cobra.Command{
		Use:   "trace",
		Short: "Generate a trace of requests and write it as JSON lines",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			p.Duration = time.Duration(seconds * float64(time.Second))
			requests, err := Generate(p)
			if err != nil {
				return err
			}
			distinct := CountDistinctBlocks(requests)
			ideal := SimulateIdealCache(requests, distinct/cacheDivisor, 0)
			fmt.Fprintf(c.ErrOrStderr(), "requests=%d distinct-blocks=%d ideal-hit-rate=%.3f\n", len(requests), distinct, ideal.HitRate())
			return Write(c.OutOrStdout(), requests)
		},
	}
	flags := c.Flags()
	flags.StringVar(&p.Workload, "workload", Mandacaru, "workload to generate: mandacaru or ledoslik")
	flags.Float64Var(&p.Load, "load", 0.75, "fraction of the fleet's prefill speed needed for the tokens that an ideal cache misses")
	flags.Float64Var(&seconds, "seconds", 60, "length of the trace in seconds")
	flags.Uint64Var(&p.Seed, "seed", 1, "seed of the random number generator")
	flags.IntVar(&p.Engines, "engines", defaultEngines, "number of engines in the fleet")
	flags.StringVar(&p.SurgeTeam, "surge-team", "", "team that sends more requests in the middle third of the trace")
	flags.Float64Var(&p.SurgeFactor, "surge-factor", 5, "factor by which the request rate of the surging team grows")
	return c
}
