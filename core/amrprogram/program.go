// Package amrprogram contains the parts of a main function that the project's
// programs share: running a command, signals, flags and the exit code.
package amrprogram

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"amaranthreach.example/core/amrsettings"
)

// Main runs the command and returns the exit code of the process: 0, or 1 if the
// command returned an error, which Main writes to standard error. SIGTERM and
// os.Interrupt cancel the context of the command.
func Main(command *cobra.Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	command.SilenceUsage = true
	command.SilenceErrors = true
	if err := command.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// ServerCommand returns the command of a server program. The command reads the file
// named by --settings into settings, which holds the defaults, and calls run.
// run should return after its context is canceled. With --check, the command
// only validates the settings.
func ServerCommand[S any, P interface {
	*S
	amrsettings.Checker
}](name, short string, settings S, run func(context.Context, S) error) *cobra.Command {
	var file string
	var check bool
	c := &cobra.Command{
		Use:   name + " --settings FILE",
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := amrsettings.Read(file, P(&settings)); err != nil {
				return err
			}
			if check {
				fmt.Fprintln(cmd.OutOrStdout(), "the settings are valid")
				return nil
			}
			slog.SetDefault(slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), nil)))
			return run(cmd.Context(), settings)
		},
	}
	c.Flags().StringVar(&file, "settings", "settings.yaml", "settings file")
	c.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	return c
}
