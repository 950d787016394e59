package amrload

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"
)

const (
	defaultDuration     = 10 * time.Second
	defaultPromptTokens = 2000
	defaultOutputTokens = 16
	defaultEngines      = 12
	defaultRouters      = 3
)

var badFlag = errorx.NewNamespace("load").NewType("bad-flag")

// Command returns the command "load". It sends the load to the targets if any are
// given, and otherwise compares the direct and the routed path in a fleet in this
// process.
func Command() *cobra.Command {
	var load Load
	var rates []float64
	engines, routers := defaultEngines, defaultRouters
	c := &cobra.Command{
		Use:   "load",
		Short: "Send requests at a steady rate and measure latencies",
		Long: `Send requests at a steady rate in open loop and print latencies, measured from the time at
which a request was due. Without --target, a fleet of fast stand-in engines is started in this
process, and the load is sent to the engines directly and then through routers and sidecars.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if len(rates) == 0 || load.PromptTokens <= 0 || load.OutputTokens <= 0 {
				return badFlag.New("--rate, --prompt-tokens and --output-tokens must be greater than 0")
			}
			for _, rate := range rates {
				if rate <= 0 {
					return badFlag.New("--rate must be greater than 0")
				}
			}
			if len(load.URLs) > 0 {
				return runTargets(c, load, rates)
			}
			comparisons, err := Compare(c.Context(), load, rates, engines, routers)
			if err != nil {
				return err
			}
			var rows []row
			for _, v := range comparisons {
				rows = append(rows, row{"direct", v.Rate, v.Direct}, row{"routed", v.Rate, v.Routed})
			}
			return writeTable(c.OutOrStdout(), rows)
		},
	}
	set := c.Flags()
	set.StringSliceVar(&load.URLs, "target", nil, "URLs of routers or engines, used in turn")
	set.StringVar(&load.Key, "key", "", "API key of a team, sent as a bearer token")
	set.StringVar(&load.Model, "model", "m1", "deployment that the requests name")
	set.Float64SliceVar(&rates, "rate", []float64{100}, "requests per second; each rate is measured in a run of its own")
	set.DurationVar(&load.Duration, "duration", defaultDuration, "length of a run")
	set.IntVar(&load.PromptTokens, "prompt-tokens", defaultPromptTokens, "length of each prompt in tokens")
	set.IntVar(&load.OutputTokens, "output-tokens", defaultOutputTokens, "maximum length of each answer in tokens")
	set.IntVar(&engines, "engines", defaultEngines, "number of engines of the fleet that is started without --target")
	set.IntVar(&routers, "routers", defaultRouters, "number of routers of the fleet that is started without --target")
	return c
}

// runTargets sends the load to its URLs at each rate and prints the results.
func runTargets(c *cobra.Command, load Load, rates []float64) error {
	var rows []row
	for _, rate := range rates {
		load.Rate = rate
		result, err := load.Run(c.Context())
		if err != nil {
			return err
		}
		rows = append(rows, row{"target", rate, result})
	}
	return writeTable(c.OutOrStdout(), rows)
}

// row is a row of the table of results.
type row struct {
	name   string // Path of the requests: direct, routed or target.
	rate   float64
	result Result
}

// writeTable writes the results as a table, followed by the failures.
func writeTable(w io.Writer, rows []row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "path\trate\tsent\tanswered\tlateness p99\tfirst token p50\tfirst token p99\tfirst token p99.9\ttotal p50\ttotal p99\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%.0f\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t\n", r.name, r.rate, r.result.Sent, r.result.Answered,
			milliseconds(r.result.Lateness.Percentile(percentileTail)),
			milliseconds(r.result.FirstToken.Percentile(percentileMedian)),
			milliseconds(r.result.FirstToken.Percentile(percentileTail)),
			milliseconds(r.result.FirstToken.Percentile(percentileExtreme)),
			milliseconds(r.result.Total.Percentile(percentileMedian)),
			milliseconds(r.result.Total.Percentile(percentileTail)))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range rows {
		for failure, n := range r.result.Failed {
			fmt.Fprintf(w, "%s at %.0f/s: %d failed: %s\n", r.name, r.rate, n, failure)
		}
	}
	return nil
}

// milliseconds formats the duration in milliseconds with two decimals.
func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.2f ms", float64(d)/float64(time.Millisecond))
}
