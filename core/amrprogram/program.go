// Package amrprogram runs the command lines of the programs.
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

// Main runs the command until it ends or the process is asked to stop, and
// returns the exit code: 0, or 1 after an error, which it writes to standard
// error. SIGTERM and an interrupt end the context of the command.
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

// Server returns the command of a program that reads its settings from a file
// and runs until its context ends. The settings start as given.
func Server[S any, P interface {
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
