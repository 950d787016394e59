package amrreplay

import (
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"amaranthreach.example/core/amrrecord"
	"amaranthreach.example/standin/amrtrace"
)

// Command returns the command "replay".
func Command() *cobra.Command {
	var f flags
	c := &cobra.Command{
		Use:   "replay",
		Short: "Play a trace through routers and sidecars against stand-in engines",
		Long: `Play a trace in open loop through real routers and sidecars against stand-in engines,
once for each policy, and print what came of it.

hit-rate is the share of prompt tokens that were cached when a run started; recomputed-tokens
were computed although some engine had computed them before, wasted-tokens although some
engine still held them. Times count from when a request was due. The policy "ideal" is one cache of the
fleet's total size shared by all requests; "omniscient" sees the true state of every engine and
of the queue before it at the instant.`,
		Args: cobra.NoArgs,
		RunE: f.run,
	}
	f.register(c)
	return c
}

type flags struct {
	trace       string
	policies    []string
	json        bool
	details     bool
	report      string
	faults      string
	timeScale   float64
	engines     int
	routers     int
	cacheBlocks int
	without     []string
	recompute   float64
	wait        float64
	eventLoss   float64
	eventDelay  time.Duration
	statusLag   time.Duration
}

func (f *flags) register(c *cobra.Command) {
	set := c.Flags()
	set.StringVar(&f.trace, "trace", "", "file of the trace")
	set.StringSliceVar(&f.policies, "policy", []string{string(amrrecord.PolicyCacheAware)}, "policies to compare")
	set.BoolVar(&f.json, "json", false, "print a JSON list")
	set.BoolVar(&f.details, "details", false, "also print figures by team, by second and by router on standard error")
	set.StringVar(&f.report, "report", "", "directory for a report with plots")
	set.StringVar(&f.faults, "fault", "", "file of faults")
	set.Float64Var(&f.timeScale, "time-scale", defaultTimeScale, "divides all times")
	set.IntVar(&f.engines, "engines", defaultEngines, "number of engines")
	set.IntVar(&f.routers, "routers", defaultRouters, "number of routers")
	set.IntVar(&f.cacheBlocks, "cache-blocks", 0, "capacity of each engine's cache; 0 for half of the trace's distinct blocks in the fleet, those of teams left out counted")
	set.StringSliceVar(&f.without, "without-team", nil, "teams whose requests are left out")
	set.Float64Var(&f.recompute, "recompute-weight", 1, "weight of recomputation in the routing policy")
	set.Float64Var(&f.wait, "wait-weight", 1, "weight of waiting in the routing policy")
	set.Float64Var(&f.eventLoss, "event-loss", 0, "share of cache events that are lost")
	set.DurationVar(&f.eventDelay, "event-delay", 0, "how late cache events come")
	set.DurationVar(&f.statusLag, "status-lag", 0, "how late engines report their load")
	_ = c.MarkFlagRequired("trace")
}

func (f *flags) run(c *cobra.Command, _ []string) error {
	if err := f.check(); err != nil {
		return err
	}
	requests, err := f.readTrace()
	if err != nil {
		return err
	}
	var faults Faults
	if f.faults != "" {
		if faults, err = ReadFaults(f.faults); err != nil {
			return err
		}
	}
	if f.cacheBlocks == 0 {
		f.cacheBlocks = defaultCacheBlocks(requests, f.engines)
	}
	requests = slices.DeleteFunc(requests, func(r amrtrace.Request) bool { return slices.Contains(f.without, r.Team) })
	if len(requests) == 0 {
		return badFlag.New("--without-team: no requests are left: name fewer teams")
	}
	replay := New(requests,
		WithEngines(f.engines),
		WithRouters(f.routers),
		WithCacheBlocks(f.cacheBlocks),
		WithTimeScale(f.timeScale),
		WithWeights(f.recompute, f.wait),
		WithEvents(f.eventLoss, f.eventDelay),
		WithStatusLag(f.statusLag),
		WithFaults(faults),
		WithProgress(c.ErrOrStderr()),
	)
	var results []Result
	for _, policy := range append(f.policies, PolicyIdeal) {
		result, err := replay.Run(c.Context(), policy)
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	return f.write(c, results)
}

func (f *flags) write(c *cobra.Command, results []Result) error {
	if f.report != "" {
		if err := WriteReport(f.report, results); err != nil {
			return err
		}
	}
	if f.details {
		if err := WriteDetails(c.ErrOrStderr(), results); err != nil {
			return err
		}
	}
	if f.json {
		return WriteJSON(c.OutOrStdout(), results)
	}
	return WriteTable(c.OutOrStdout(), results)
}

func (f *flags) check() error {
	f.policies = slices.DeleteFunc(f.policies, func(p string) bool { return p == PolicyIdeal }) // Always printed.
	known := []string{
		string(amrrecord.PolicyCacheAware), string(amrrecord.PolicyRoundRobin), string(amrrecord.PolicyLeastLoaded),
		string(amrrecord.PolicyPrefixHash), PolicyOmniscient,
	}
	for _, p := range f.policies {
		if !slices.Contains(known, p) {
			return badFlag.New("--policy: no policy is called %q: use %s or %s", p, strings.Join(known, ", "), PolicyIdeal)
		}
	}
	switch {
	case f.timeScale <= 0:
		return badFlag.New("--time-scale: give a number above 0")
	case f.engines <= 0 || f.routers <= 0:
		return badFlag.New("--engines and --routers: give a number above 0")
	case f.eventLoss < 0 || f.eventLoss > 1:
		return badFlag.New("--event-loss: give a number from 0 to 1")
	}
	return nil
}

func (f *flags) readTrace() ([]amrtrace.Request, error) {
	file, err := os.Open(f.trace)
	if err != nil {
		return nil, badFlag.Wrap(err, "--trace: name a file of a trace")
	}
	defer file.Close()
	requests, err := amrtrace.Read(file)
	if err != nil {
		return nil, err
	}
	if len(requests) == 0 {
		return nil, badFlag.New("--trace: %s has no requests", f.trace)
	}
	return requests, nil
}
