package amrcommand

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"amaranthreach.example/router/gen/operators"
)

func quarantineCommand(o *options) *cobra.Command {
	c := &cobra.Command{
		Use:   "quarantine",
		Short: "Show and lift the quarantine of requests that crash backend servers",
		Args:  checkArgs(cobra.NoArgs),
	}
	c.AddCommand(quarantineListCommand(o), quarantineLiftCommand(o))
	return c
}

// suspectsView is the output of quarantine list.
type suspectsView []suspectView

// suspectView is the output for one request that was running when a backend server
// crashed.
type suspectView struct {
	Fingerprint string   `json:"fingerprint"`
	Team        string   `json:"team"`
	Quarantined bool     `json:"quarantined"`
	Crashes     []string `json:"crashes"`
}

func quarantineListCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "Show requests that were running when a backend server crashed",
		Args:  checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.call(cmd, func(ctx context.Context, s *session) error {
				listed, err := s.Suspects(ctx, &operators.SuspectsPayload{Key: s.key})
				if err != nil {
					return err
				}
				view := suspectsView{}
				for _, suspect := range listed {
					view = append(view, suspectView{suspect.Fingerprint, suspect.Team, suspect.Quarantined, suspect.Crashes})
				}
				return o.print(view, view.writeTable)
			})
		},
	}
}

// writeTable writes the view as a table.
func (v suspectsView) writeTable(w io.Writer) {
	fmt.Fprintln(w, "FINGERPRINT\tTEAM\tQUARANTINED\tCRASHES")
	for _, s := range v {
		fmt.Fprintf(w, "%s\t%s\t%t\t%s\n", s.Fingerprint, s.Team, s.Quarantined, strings.Join(s.Crashes, ", "))
	}
}

func quarantineLiftCommand(o *options) *cobra.Command {
	var p changeParams
	c := &cobra.Command{
		Use:   "lift FINGERPRINT",
		Short: "Lift the quarantine of a request, so that it may run again",
		Args:  checkArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			if err := o.completeParams(&p); err != nil {
				return err
			}
			return o.call(cmd, func(ctx context.Context, s *session) error {
				err := s.Lift(ctx, &operators.LiftPayload{Key: s.key, Fingerprint: arguments[0], Operator: p.operator, Reason: p.reason})
				if err != nil {
					return err
				}
				fmt.Fprintln(o.streams.Out, "quarantine lifted; it takes effect at all routers within seconds")
				return nil
			})
		},
	}
	c.Flags().StringVar(&p.reason, "reason", "", "why the quarantine is lifted, for the log")
	return c
}
