// Package amrcommand implements the operators' command line client, amrctl. Its
// commands change and show records, lift quarantines, and show the decisions, the
// audit trail and the status of routers and backend servers.
package amrcommand

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"
)

// Streams holds the output streams and the environment of the command line.
type Streams struct {
	Out    io.Writer
	Err    io.Writer
	Getenv func(string) string // Returns the value of an environment variable, or an empty string.
}

// Run runs the command line with the arguments, which exclude the program's name. It
// prints an error to streams.Err and returns the exit code.
func Run(ctx context.Context, args []string, streams Streams) int {
	root := New(streams)
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(streams.Err, "amrctl:", messageOf(err))
	}
	return ExitCode(err)
}

// New returns the root command, with all other commands below it.
func New(streams Streams) *cobra.Command {
	o := &options{streams: streams}
	root := &cobra.Command{
		Use:   "amrctl",
		Short: "Change records, and show decisions and changes",
		Long: "amrctl changes the records that configure the system, and shows what the routers\n" +
			"decided and who changed what. It connects to the operators' address of any router.\n\n" + exitCodes,
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			return o.checkOutput()
		},
	}
	root.SetOut(streams.Out)
	root.SetErr(streams.Err)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	flags := root.PersistentFlags()
	flags.StringVar(&o.server, "server", "", "URL of the operators' address of a router (environment: AMRCTL_SERVER)")
	flags.StringVar(&o.keyFile, "key-file", "", "file with the key of a team of operators (environment: AMRCTL_KEY holds the key itself)")
	flags.StringVar(&o.operator, "as", "", "name of the person who makes the change (environment: USER)")
	flags.DurationVar(&o.timeout, "timeout", 30*time.Second, "time limit for the whole command")
	flags.StringVarP(&o.output, "output", "o", "table", "output format: table, yaml or json")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"table", "yaml", "json"}, cobra.ShellCompDirectiveNoFileComp))
	root.AddCommand(
		applyCommand(o), diffCommand(o), deleteCommand(o), rollbackCommand(o), drainCommand(o),
		getCommand(o), historyCommand(o), auditCommand(o),
		explainCommand(o), explainLogCommand(o), whereCommand(o), whyNotCommand(o), statusCommand(o), quarantineCommand(o),
	)
	return root
}

// options holds the streams and the values of the flags that all commands have.
type options struct {
	streams  Streams
	server   string // URL.
	keyFile  string
	operator string // Name of the person who makes a change.
	timeout  time.Duration
	output   string // One of table, yaml and json.
}

// checkArgs wraps a check of the arguments so that it returns a usageError.
func checkArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, arguments []string) error {
		if err := check(cmd, arguments); err != nil {
			return usageError{err}
		}
		return nil
	}
}
