package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"amaranthreach.example/standin/amrslopes"
)

func slopesCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "slopes",
		Short: "Measure how the resource use of each role grows with the size of the system",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			slopes, err := amrslopes.Run(cmd.Context(), clockwork.NewRealClock(), func(name string, size int) {
				fmt.Fprintf(cmd.ErrOrStderr(), "measuring %s at %d\n", name, size)
			})
			if err != nil {
				return err
			}
			if asJSON {
				encoder := json.NewEncoder(cmd.OutOrStdout())
				encoder.SetIndent("", "  ")
				return encoder.Encode(slopes)
			}
			return printSlopes(cmd.OutOrStdout(), slopes)
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON instead of a table")
	return c
}

// printSlopes prints the slopes as a table with one line for each.
func printSlopes(w io.Writer, slopes []amrslopes.Slope) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "slope\trole\tunit\tper\tslope\tintercept\tstandard error\tr²\tpoints")
	for _, s := range slopes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.3g\t%.4f\t", s.Name, s.Role, s.Unit, s.Per, s.Slope, s.Intercept, s.StandardError, s.RSquared)
		for _, p := range s.Points {
			fmt.Fprintf(table, "%d: %.5g; ", p.Size, p.Cost)
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}
