package amrscale

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"
)

var (
	namespace = errorx.NewNamespace("scale")
	badFlag   = namespace.NewType("bad_flag")
)

// Command returns the command "scale", which simulates growing numbers of routers.
func Command() *cobra.Command {
	var f flags
	c := &cobra.Command{
		Use:   "scale",
		Short: "Simulate growing numbers of routers, to compare what they tell each other",
		Long: `Simulate routers before engines without network, for growing numbers of routers, and print how
requests fare and what routers send each other. Traffic and engines grow with the routers.

"alone" knows only what the router itself does and what engines say in their answers;
"coordinated" places requests by placement groups, as the router does; "omniscient" knows at
once what all routers do, which is a bound that no router can reach.`,
		Args: cobra.NoArgs,
		RunE: f.run,
	}
	set := c.Flags()
	set.IntSliceVar(&f.routers, "routers", []int{30, 100, 360}, "numbers of routers to simulate")
	set.StringSliceVar(&f.ways, "way", []string{string(Alone), string(Coordinated), string(Omniscient)}, "ways to compare")
	set.DurationVar(&f.length, "length", 12*time.Second, "simulated time")
	set.Uint64Var(&f.seed, "seed", 1, "seed of the random numbers")
	set.Float64Var(&f.budget, "budget", 0, "bytes per second that a router may send to others; 0 for no limit")
	set.Float64Var(&f.loss, "loss", 0, "share of messages that are lost, from 0 to 1")
	set.BoolVar(&f.trouble, "trouble", false, "crash a quarter of the engines and replace the weights of the others")
	set.BoolVar(&f.json, "json", false, "print JSON instead of a table")
	set.StringVar(&f.plot, "plot", "", "HTML file for plots")
	return c
}

// flags are the flags of the command.
type flags struct {
	routers []int
	ways    []string
	length  time.Duration
	seed    uint64
	budget  float64
	loss    float64
	trouble bool
	json    bool
	plot    string
}

func (f *flags) run(c *cobra.Command, _ []string) error {
	if err := f.validate(); err != nil {
		return err
	}
	var results []Result
	for _, routers := range f.routers {
		for _, way := range f.ways {
			fmt.Fprintf(c.ErrOrStderr(), "simulating %d routers, %s\n", routers, way)
			results = append(results, Run(Way(way), f.params(routers)))
		}
	}
	if f.plot != "" {
		if err := WritePlot(f.plot, results); err != nil {
			return err
		}
	}
	if f.json {
		encoder := json.NewEncoder(c.OutOrStdout())
		encoder.SetIndent("", "  ")
		return encoder.Encode(results)
	}
	return WriteTable(c.OutOrStdout(), results)
}

// params returns the parameters of a simulation.
func (f *flags) params(routers int) Params {
	p := Deployment(routers).WithLength(f.length).WithBudget(f.budget).WithLoss(f.loss)
	p.Seed = f.seed
	if f.trouble {
		p = p.WithTrouble()
	}
	return p
}

// validate checks the values of the flags.
func (f *flags) validate() error {
	for _, n := range f.routers {
		if n < 1 {
			return badFlag.New("--routers: %d is not a number of routers: use 1 or more", n)
		}
	}
	for _, way := range f.ways {
		if !slices.Contains(ways, Way(way)) {
			return badFlag.New("--way: %q is not a way: use %s, %s or %s", way, Alone, Coordinated, Omniscient)
		}
	}
	if f.length < minLength {
		return badFlag.New("--length: %v is too short: use %v or more", f.length, minLength)
	}
	if f.budget < 0 {
		return badFlag.New("--budget: %v is negative", f.budget)
	}
	if f.loss < 0 || f.loss > 1 {
		return badFlag.New("--loss: %v is not a share: use 0 to 1", f.loss)
	}
	return nil
}
