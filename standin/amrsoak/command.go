package amrsoak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
)

// programPackage is the package of the router's program.
const programPackage = "amaranthreach.example/platform"

// options contains the options of the command line and counts the failed seeds.
type options struct {
	seed            uint64
	seeds           int
	jobs            int
	duration        time.Duration
	size            Size
	interval        time.Duration
	dir             string
	faults          []string
	timeLimitFactor float64
	resumableOnly   bool
	deployment      Deployment
	race            bool
	regressions     bool
	verbose         bool
	mu              sync.Mutex // Held while a result is printed; protects failures.
	failures        int        // Number of seeds that broke a promise.
}

// Command returns the command "fault-soak", which runs soak tests.
func Command() *cobra.Command {
	o := options{}
	c := &cobra.Command{
		Use:   "fault-soak",
		Short: "Run the platform's router as separate processes under random faults and check its promises",
		Long: `Run the router of the users' platform as separate processes, with faults from outside: signals,
loopback proxies that delay, reset, hold and refuse connections, faults of the store and of backend servers, and changes by
operators, one after the other and overlapping. Fails when a promise of the documentation for users is broken. A seed
determines the faults and the requests, but not how the operating system schedules the processes. The settings and logs of
a seed that failed are kept in the directory (see --dir).`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return o.run(c.Context(), c.OutOrStdout()) },
	}
	c.Flags().Uint64Var(&o.seed, "seed", 1, "first seed")
	c.Flags().IntVar(&o.seeds, "seeds", 1, "number of seeds")
	c.Flags().IntVar(&o.jobs, "jobs", 1, "number of seeds to run in parallel")
	c.Flags().DurationVar(&o.duration, "duration", 20*time.Second, "time during which faults start, for each seed")
	c.Flags().DurationVar(&o.interval, "interval", defaultFaultInterval, "mean time between the starts of two faults")
	c.Flags().IntVar(&o.size.Routers, "routers", 3, "number of routers")
	c.Flags().IntVar(&o.size.Engines, "engines", 4, "number of engines")
	c.Flags().IntVar(&o.size.Services, "services", 3, "number of plain backend servers")
	c.Flags().StringVar(&o.dir, "dir", "", "directory for settings and logs; a temporary one by default")
	c.Flags().Float64Var(&o.timeLimitFactor, "stretch", 1, "factor of the time limits, for a machine that is busy with other work")
	c.Flags().StringSliceVar(&o.faults, "faults", nil, "kinds of faults to draw from, by name; all by default")
	c.Flags().StringToStringVar(&o.deployment.Settings, "setting", nil, "settings of the routers that replace those of the soak, such as stop-delay=7s; an empty value leaves one out")
	c.Flags().DurationVar(&o.deployment.WeightsLoad, "weights-load", 0, "time that an engine takes to load weights; 0 for the default")
	c.Flags().BoolVar(&o.resumableOnly, "resumable-streams", false, "send only requests for streams that can be taken up")
	c.Flags().BoolVar(&o.regressions, "regressions", false, "run the seeds of regressions.yaml instead of --seed and --seeds")
	c.Flags().BoolVar(&o.race, "race", false, "build the program with the race detector")
	c.Flags().BoolVar(&o.verbose, "verbose", false, "print the faults of every seed")
	return c
}

func (o *options) run(ctx context.Context, out io.Writer) error {
	if o.seeds < 1 || o.jobs < 1 || o.size.Routers < 1 || o.size.Engines < 1 || o.size.Services < 1 {
		return errors.New("--seeds, --jobs, --routers, --engines and --services must be at least 1")
	}
	if o.dir == "" {
		dir, err := os.MkdirTemp("", "fault-soak")
		if err != nil {
			return err
		}
		o.dir = dir
	}
	program, err := Build(ctx, o.dir, o.race)
	if err != nil {
		return err
	}
	seeds, err := o.seedList()
	if err != nil {
		return err
	}
	var group errgroup.Group
	group.SetLimit(o.jobs)
	for _, s := range seeds {
		if ctx.Err() != nil {
			break
		}
		group.Go(func() error { return o.runSeed(ctx, out, program, s) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d seeds run, %d of them with a broken promise\n", len(seeds), o.failures)
	if o.failures > 0 {
		return brokenPromise.New("%d of %d seeds broke a promise: see the logs in %s", o.failures, len(seeds), o.dir)
	}
	return nil
}

// seedList returns the seeds to run.
func (o *options) seedList() ([]Regression, error) {
	if o.regressions {
		return Regressions()
	}
	seeds := make([]Regression, o.seeds)
	for i := range seeds {
		seeds[i].Seed = o.seed + uint64(i)
	}
	return seeds, nil
}

// Build builds the router's program into the directory, with the race detector if
// race is set, and returns the path of the executable.
func Build(ctx context.Context, dir string, race bool) (program string, err error) {
	program = filepath.Join(dir, "amr-direct")
	args := []string{"build", "-o", program}
	if race {
		args = append(args, "-race")
	}
	output, err := exec.CommandContext(ctx, "go", append(args, programPackage)...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build %s: %w\n%s", programPackage, err, output)
	}
	return program, nil
}

// runSeed runs the soak test of one seed and prints its result. It removes the
// seed's directory unless the test could not be carried out or a promise was
// broken.
func (o *options) runSeed(ctx context.Context, out io.Writer, program string, r Regression) error {
	seed := r.Seed
	dir := filepath.Join(o.dir, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	result, err := Soak{Program: program, Dir: dir, Seed: seed, Length: o.duration, Size: o.size, FaultInterval: o.interval, FaultKinds: r.FaultKinds, FaultNames: o.faults, Deployment: o.deployment, ResumableOnly: o.resumableOnly, TimeLimitFactor: o.timeLimitFactor}.Run(ctx)
	if err != nil {
		return fmt.Errorf("seed %d: %w", seed, err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	fmt.Fprintf(out, "seed %d: %d faults, answered %d, refused %d, lost %d, undisturbed %d, went on %d of %d, of all %d of %d, kept connections answered %d of %d, quota %d of %d, losses gone %d (bound %d) refused %d late %d lost %d, broken promises %q\n",
		seed, len(result.Faults), result.Answered, result.Refused, result.Lost, result.Undisturbed, result.TakenUp.served, result.TakenUp.all, result.AllTakenUp.served, result.AllTakenUp.all, result.Kept.served, result.Kept.all, result.QuotaRuns, maxQuotaRuns(), result.Losses[causeGone], result.MaxGone, result.Losses[causeRefused], result.Losses[causeLate], result.Losses[causeLost], result.brokenPromises())
	if len(result.Violations) > 0 || o.verbose {
		result.write(out)
	}
	if len(result.Violations) == 0 {
		return os.RemoveAll(dir)
	}
	o.failures++
	return nil
}

// write prints the faults and the violations.
func (r Result) write(out io.Writer) {
	for _, f := range r.Faults {
		fmt.Fprintf(out, "  fault %v\n", f)
	}
	for _, text := range r.Returns {
		fmt.Fprintf(out, "  power returned, %s\n", text)
	}
	for _, f := range r.Violations {
		fmt.Fprintf(out, "  broken at %s: promise %q: %s\n", f.At.UTC().Format("15:04:05.000"), f.Promise, f.Detail)
	}
}
