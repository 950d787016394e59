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

// programPackage is what the soak runs.
const programPackage = "amaranthreach.example/platform"

// plan is what the command line asks for.
type plan struct {
	seed     uint64
	seeds    int
	jobs     int
	length   time.Duration
	size     Size
	dir      string
	stretch  float64
	race     bool
	known    bool
	verbose  bool
	mu       sync.Mutex // Held while a result is written.
	failures int
}

// Command returns the command "fault-soak".
func Command() *cobra.Command {
	p := plan{}
	c := &cobra.Command{
		Use:   "fault-soak",
		Short: "Run the platform's program as processes under random faults and check the promises",
		Long: `Run the router of the users' platform as separate processes, with faults from outside: signals,
loopback proxies that delay, reset, hold and refuse, faults of the store and of backend servers, and changes by operators,
in series and overlapping. Fails when a promise of the users' pages is broken. A seed determines the faults and the
requests, not when processes are scheduled. Settings and logs of a seed that failed are kept in the directory.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return p.run(c.Context(), c.OutOrStdout()) },
	}
	c.Flags().Uint64Var(&p.seed, "seed", 1, "first seed")
	c.Flags().IntVar(&p.seeds, "seeds", 1, "number of seeds")
	c.Flags().IntVar(&p.jobs, "jobs", 1, "seeds at once")
	c.Flags().DurationVar(&p.length, "duration", 20*time.Second, "length of the faults of a seed")
	c.Flags().IntVar(&p.size.Routers, "routers", 3, "number of routers")
	c.Flags().IntVar(&p.size.Engines, "engines", 4, "number of engines")
	c.Flags().IntVar(&p.size.Services, "services", 3, "number of plain backend servers")
	c.Flags().StringVar(&p.dir, "dir", "", "directory for settings and logs; a temporary one by default")
	c.Flags().Float64Var(&p.stretch, "stretch", 1, "factor of the bounds of time, for a machine that is busy with other work")
	c.Flags().BoolVar(&p.known, "regressions", false, "run the seeds that failed once, in place of --seed and --seeds")
	c.Flags().BoolVar(&p.race, "race", false, "build the program with the race detector")
	c.Flags().BoolVar(&p.verbose, "verbose", false, "print the faults of every seed")
	return c
}

func (p *plan) run(ctx context.Context, out io.Writer) error {
	if p.seeds < 1 || p.jobs < 1 || p.size.Routers < 1 || p.size.Engines < 1 || p.size.Services < 1 {
		return errors.New("--seeds, --jobs, --routers, --engines and --services: give 1 or more")
	}
	if p.dir == "" {
		dir, err := os.MkdirTemp("", "fault-soak")
		if err != nil {
			return err
		}
		p.dir = dir
	}
	program, err := Build(ctx, p.dir, p.race)
	if err != nil {
		return err
	}
	seeds, err := p.list()
	if err != nil {
		return err
	}
	var group errgroup.Group
	group.SetLimit(p.jobs)
	for _, s := range seeds {
		if ctx.Err() != nil {
			break
		}
		group.Go(func() error { return p.soak(ctx, out, program, s) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d seeds, %d with a broken promise\n", len(seeds), p.failures)
	if p.failures > 0 {
		return broken.New("%d of %d seeds broke a promise: see the logs in %s", p.failures, len(seeds), p.dir)
	}
	return nil
}

// list returns the seeds to run.
func (p *plan) list() ([]Regression, error) {
	if p.known {
		return Regressions()
	}
	seeds := make([]Regression, p.seeds)
	for i := range seeds {
		seeds[i].Seed = p.seed + uint64(i)
	}
	return seeds, nil
}

// Build builds the program into the directory and returns its path.
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

// soak runs one seed and writes what came of it.
func (p *plan) soak(ctx context.Context, out io.Writer, program string, r Regression) error {
	seed := r.Seed
	dir := filepath.Join(p.dir, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	result, err := Soak{Program: program, Dir: dir, Seed: seed, Length: p.length, Size: p.size, Kinds: r.Kinds, Stretch: p.stretch}.Run(ctx)
	if err != nil {
		return fmt.Errorf("seed %d: %w", seed, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(out, "seed %d: %d faults, answered %d, refused %d, lost %d, in touch %d, broken %v\n",
		seed, len(result.Faults), result.Answered, result.Refused, result.Lost, result.Judgeable, result.promises())
	if len(result.Findings) > 0 || p.verbose {
		result.write(out)
	}
	if len(result.Findings) == 0 {
		return os.RemoveAll(dir)
	}
	p.failures++
	return nil
}

// write writes the faults and what was found.
func (r Result) write(out io.Writer) {
	for _, f := range r.Faults {
		fmt.Fprintf(out, "  fault %v\n", f)
	}
	for _, f := range r.Findings {
		fmt.Fprintf(out, "  broken at %s: %s: %s\n", f.At.UTC().Format("15:04:05.000"), f.Promise, f.What)
	}
}
