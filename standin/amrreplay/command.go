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

// Command returns the command "replay", which replays a trace under several
// policies and prints a comparison.
func Command() *cobra.Command {
	var f flags
	c := &cobra.Command{
		Use:   "replay",
		Short: "Replay a trace through routers and sidecars against stand-in engines",
		Long: `Replay a trace in open loop through real routers and sidecars against stand-in engines,
once for each policy, and print the measurements.

hit-rate is the fraction of prompt tokens that were cached when their prefill started.
recomputed-tokens counts prompt tokens that were computed although an engine had computed them
before; wasted-tokens counts those that an engine still cached at that time. Latencies are
measured from the time at which a request was due. The policy "ideal" simulates one cache of
the fleet's total size that all requests share; "omniscient" places requests by the current
state of every engine and of its queue.`,
		Args: cobra.NoArgs,
		RunE: f.run,
	}
	f.register(c)
	return c
}

type flags struct {
	trace           string
	policies        []string
	json            bool
	details         bool
	report          string
	faults          string
	timeScale       float64
	engines         int
	routers         int
	cacheBlocks     int
	withoutTeams    []string
	recomputeWeight float64
	waitWeight      float64
	eventLoss       float64
	eventDelay      time.Duration
	statusLag       time.Duration
}

func (f *flags) register(c *cobra.Command) {
	set := c.Flags()
	set.StringVar(&f.trace, "trace", "", "file with the trace")
	set.StringSliceVar(&f.policies, "policy", []string{string(amrrecord.PolicyCacheAware)}, "policies to compare")
	set.BoolVar(&f.json, "json", false, "print a JSON list")
	set.BoolVar(&f.details, "details", false, "also print figures by team, by second and by router on standard error")
	set.StringVar(&f.report, "report", "", "directory for a report with plots")
	set.StringVar(&f.faults, "fault", "", "YAML file with the faults to inject")
	set.Float64Var(&f.timeScale, "time-scale", defaultTimeScale, "number by which all durations are divided")
	set.IntVar(&f.engines, "engines", defaultEngines, "number of engines")
	set.IntVar(&f.routers, "routers", defaultRouters, "number of routers")
	set.IntVar(&f.cacheBlocks, "cache-blocks", 0, "capacity of each engine's cache in blocks; with 0, the caches of the fleet together hold half of the trace's distinct blocks, including those of teams that are left out")
	set.StringSliceVar(&f.withoutTeams, "without-team", nil, "teams whose requests are left out")
	set.Float64Var(&f.recomputeWeight, "recompute-weight", 1, "weight of recomputation in the routing policy")
	set.Float64Var(&f.waitWeight, "wait-weight", 1, "weight of waiting in the routing policy")
	set.Float64Var(&f.eventLoss, "event-loss", 0, "fraction of cache events that are lost, from 0 to 1")
	set.DurationVar(&f.eventDelay, "event-delay", 0, "delay of cache events")
	set.DurationVar(&f.statusLag, "status-lag", 0, "age of the status that engines report, which includes their load")
	_ = c.MarkFlagRequired("trace")
}

func (f *flags) run(c *cobra.Command, _ []string) error {
	if err := f.validate(); err != nil {
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
	requests = slices.DeleteFunc(requests, func(r amrtrace.Request) bool { return slices.Contains(f.withoutTeams, r.Team) })
	if len(requests) == 0 {
		return badFlag.New("--without-team excludes all requests of the trace: name fewer teams")
	}
	replay := New(requests,
		WithEngines(f.engines),
		WithRouters(f.routers),
		WithCacheBlocks(f.cacheBlocks),
		WithTimeScale(f.timeScale),
		WithPolicyWeights(f.recomputeWeight, f.waitWeight),
		WithEventDelivery(f.eventLoss, f.eventDelay),
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

// validate checks the values of the flags. It removes PolicyIdeal from the
// policies, since run adds it in any case.
func (f *flags) validate() error {
	f.policies = slices.DeleteFunc(f.policies, func(p string) bool { return p == PolicyIdeal })
	known := []string{
		string(amrrecord.PolicyCacheAware), string(amrrecord.PolicyRoundRobin), string(amrrecord.PolicyLeastLoaded),
		string(amrrecord.PolicyPrefixHash), PolicyOmniscient,
	}
	for _, p := range f.policies {
		if !slices.Contains(known, p) {
			return badFlag.New("--policy: %q is not a policy: use %s or %s", p, strings.Join(known, ", "), PolicyIdeal)
		}
	}
	switch {
	case f.timeScale <= 0:
		return badFlag.New("--time-scale must be greater than 0")
	case f.engines <= 0 || f.routers <= 0:
		return badFlag.New("--engines and --routers must be greater than 0")
	case f.eventLoss < 0 || f.eventLoss > 1:
		return badFlag.New("--event-loss must be between 0 and 1")
	}
	return nil
}

func (f *flags) readTrace() ([]amrtrace.Request, error) {
	file, err := os.Open(f.trace)
	if err != nil {
		return nil, badFlag.Wrap(err, "--trace: cannot open the trace file; name a readable trace file")
	}
	defer file.Close()
	requests, err := amrtrace.Read(file)
	if err != nil {
		return nil, err
	}
	if len(requests) == 0 {
		return nil, badFlag.New("--trace: the file %s contains no requests", f.trace)
	}
	return requests, nil
}
