// Package amrcommand is the operators' command line: it writes records, and
// reads back what was decided and changed.
package amrcommand

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"
)

// Streams connects the command line to its surroundings.
type Streams struct {
	Out     io.Writer
	Err     io.Writer
	Environ func(string) string // Value of an environment variable.
}

// Run runs the command line with the arguments and returns the exit code.
func Run(ctx context.Context, args []string, streams Streams) int {
	root := New(streams)
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(streams.Err, "amrctl:", messageOf(err))
	}
	return CodeOf(err)
}

// New returns the root command.
func New(streams Streams) *cobra.Command {
	o := &options{streams: streams}
	root := &cobra.Command{
		Use:   "amrctl",
		Short: "Write records, and read back what was decided and changed",
		Long: "amrctl writes the records that drive the system, and reads back what was\n" +
			"decided and changed. It talks to the operators' address of any router.\n\n" + exitCodes,
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
	flags.StringVar(&o.operator, "as", "", "who makes a change (environment: USER)")
	flags.DurationVar(&o.timeout, "timeout", 30*time.Second, "time for the whole command")
	flags.StringVarP(&o.output, "output", "o", "table", "table, yaml or json")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"table", "yaml", "json"}, cobra.ShellCompDirectiveNoFileComp))
	root.AddCommand(
		applyCommand(o), diffCommand(o), deleteCommand(o), rollbackCommand(o), drainCommand(o),
		getCommand(o), historyCommand(o), auditCommand(o),
		explainCommand(o), explainLogCommand(o), whyNotCommand(o), statusCommand(o), quarantineCommand(o),
	)
	return root
}

// options are the flags of all commands.
type options struct {
	streams  Streams
	server   string
	keyFile  string
	operator string
	timeout  time.Duration
	output   string
}

// args returns a check of the number of arguments that counts as a mistake in
// the usage.
func args(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, arguments []string) error {
		if err := check(cmd, arguments); err != nil {
			return usageError{err}
		}
		return nil
	}
}
