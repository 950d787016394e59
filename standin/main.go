// Command standin runs stand-ins for the systems around the router. Its
// subcommands run a demonstration, servers for routers that run as separate
// processes, replays of traces, load generation, soak tests and measurements.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"amaranthreach.example/core/amrprogram"
	"amaranthreach.example/standin/amrdemo"
	"amaranthreach.example/standin/amrload"
	"amaranthreach.example/standin/amrreplay"
	"amaranthreach.example/standin/amrscale"
	"amaranthreach.example/standin/amrsoak"
	"amaranthreach.example/standin/amrtrace"
)

func main() {
	os.Exit(amrprogram.Main(command()))
}

func command() *cobra.Command {
	c := &cobra.Command{
		Use:   "standin",
		Short: "Run stand-ins for the systems around the router",
	}
	c.AddCommand(demoCommand(), serveCommand(), slopesCommand(), amrreplay.Command(), amrreplay.SoakCommand(), amrsoak.Command(), amrload.Command(), amrtrace.Command(), amrscale.Command())
	return c
}

func demoCommand() *cobra.Command {
	var keep bool
	c := &cobra.Command{
		Use:   "demo",
		Short: "Send example requests through a fleet in this process and explain them",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return amrdemo.New(cmd.OutOrStdout(), amrdemo.WithKeep(keep)).Run(cmd.Context())
		},
	}
	c.Flags().BoolVar(&keep, "keep", false, "keep the fleet running after the last request, until interrupted")
	return c
}
