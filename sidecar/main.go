// Command amr-sidecar runs beside a backend server and admits its work.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"amaranthreach.example/core/amrsettings"
	"amaranthreach.example/sidecar/amrsidecar"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func command() *cobra.Command {
	var file string
	var check bool
	c := &cobra.Command{
		Use:           "amr-sidecar --settings FILE",
		Short:         "Run beside a backend server and admit its work",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings := amrsidecar.DefaultSettings()
			if err := amrsettings.Read(file, &settings); err != nil {
				return err
			}
			if check {
				fmt.Fprintln(cmd.OutOrStdout(), "the settings are valid")
				return nil
			}
			slog.SetDefault(slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), nil)))
			return amrsidecar.Run(cmd.Context(), settings)
		},
	}
	c.Flags().StringVar(&file, "settings", "sidecar.yaml", "settings file")
	c.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	return c
}
