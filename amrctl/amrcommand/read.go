package amrcommand

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"amaranthreach.example/core/amrrecord"
	"amaranthreach.example/router/gen/operators"
)

func getCommand(o *options) *cobra.Command {
	var revision uint64
	var variants bool
	c := &cobra.Command{
		Use:               "get [KIND [NAME]]",
		Short:             "Show records",
		Args:              checkArgs(cobra.MaximumNArgs(2)),
		ValidArgsFunction: completeKinds,
		RunE: func(cmd *cobra.Command, arguments []string) error {
			return o.call(cmd, func(ctx context.Context, s *session) error {
				p := &operators.RecordsPayload{Key: s.key, Revision: revision, Variants: variants}
				if len(arguments) > 0 {
					p.Kind = &arguments[0]
				}
				if len(arguments) > 1 {
					p.Name = &arguments[1]
				}
				records, err := s.Records(ctx, p)
				if err != nil {
					return err
				}
				return o.printRecords(records)
			})
		},
	}
	c.Flags().Uint64Var(&revision, "revision", 0, "revision to show; 0 selects the newest")
	c.Flags().BoolVar(&variants, "variants", false, "also show the variants that are not in force: other schema versions of a record, and records that are being rolled out")
	return c
}

// completeKinds completes the kind of a record in the shell.
func completeKinds(_ *cobra.Command, arguments []string, _ string) ([]string, cobra.ShellCompDirective) {
	var kinds []string
	if len(arguments) == 0 {
		for _, kind := range amrrecord.Kinds() {
			kinds = append(kinds, string(kind))
		}
	}
	return kinds, cobra.ShellCompDirectiveNoFileComp
}

// recordView is the output for one record.
type recordView struct {
	Record        string `json:"record"`
	SchemaVersion int    `json:"schema-version"`
	Document      string `json:"document"`
}

// printRecords prints records. The YAML output consists of their documents, so that
// it can be passed to apply.
func (o *options) printRecords(records *operators.HeldRecords) error {
	views := make([]recordView, 0, len(records.Records))
	documents := make([]string, 0, len(records.Records))
	for _, r := range records.Records {
		views = append(views, recordView{r.Record, r.SchemaVersion, r.Document})
		documents = append(documents, r.Document)
	}
	if o.output == "yaml" {
		_, err := io.WriteString(o.streams.Out, strings.Join(documents, "---\n"))
		return err
	}
	return o.print(views, func(w io.Writer) {
		fmt.Fprintln(w, "RECORD\tSCHEMA VERSION")
		for _, v := range views {
			fmt.Fprintf(w, "%s\t%d\n", v.Record, v.SchemaVersion)
		}
	})
}

func historyCommand(o *options) *cobra.Command {
	var limit int
	var before uint64
	c := &cobra.Command{
		Use:   "history [KIND/NAME]",
		Short: "Show the newest changes, of all records or of one",
		Args:  checkArgs(cobra.MaximumNArgs(1)),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			return o.history(cmd, arguments, before, limit)
		},
	}
	c.Flags().IntVar(&limit, "limit", 20, "maximum number of changes")
	c.Flags().Uint64Var(&before, "before", 0, "show only changes below this revision; 0 starts at the newest")
	return c
}

func auditCommand(o *options) *cobra.Command {
	var limit int
	var before uint64
	c := &cobra.Command{
		Use:   "audit",
		Short: "Show who changed what, when, from where and why",
		Args:  checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.history(cmd, nil, before, limit)
		},
	}
	c.Flags().IntVar(&limit, "limit", 20, "maximum number of entries")
	c.Flags().Uint64Var(&before, "before", 0, "show only entries below this revision; 0 starts at the newest")
	c.AddCommand(&cobra.Command{
		Use:   "verify",
		Short: "Check that no entry is missing or edited",
		Args:  checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.call(cmd, func(ctx context.Context, s *session) error {
				result, err := s.Verify(ctx, &operators.VerifyPayload{Key: s.key})
				if err != nil {
					return err
				}
				return o.print(verifyView{result.Entries}, func(w io.Writer) {
					fmt.Fprintf(w, "%d entries, none missing or edited\n", result.Entries)
				})
			})
		},
	})
	return c
}

// verifyView is the output of audit verify.
type verifyView struct {
	Entries int `json:"entries"`
}

// entryView is the output for one entry of the audit trail.
type entryView struct {
	Revision uint64       `json:"revision"`
	When     string       `json:"when"`
	Who      string       `json:"who"`
	From     string       `json:"from"`
	Reason   string       `json:"reason"`
	Changes  []changeView `json:"changes"`
	Digest   string       `json:"digest"`
}

// history prints at most limit entries of the audit trail, the newest first. It
// prints only entries with revisions below before, unless before is 0, and only those
// that changed the record that the arguments name, if any.
func (o *options) history(cmd *cobra.Command, arguments []string, before uint64, limit int) error {
	return o.call(cmd, func(ctx context.Context, s *session) error {
		p := &operators.HistoryPayload{Key: s.key, Before: before, Limit: limit}
		if len(arguments) > 0 {
			p.Record = &arguments[0]
		}
		found, err := s.History(ctx, p)
		if err != nil {
			return err
		}
		views := make([]entryView, 0, len(found.Entries))
		for _, e := range found.Entries {
			views = append(views, entryView{e.Revision, e.When, e.Who, e.From, e.Reason, changeViews(e.Changes), e.Digest})
		}
		return o.print(views, func(w io.Writer) {
			fmt.Fprintln(w, "REVISION\tWHEN\tWHO\tFROM\tCHANGED\tREASON")
			for _, v := range views {
				fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", v.Revision, v.When, v.Who, v.From, recordNames(v.Changes), v.Reason)
			}
		})
	})
}

// recordNames lists the names of the first changed records and the number of the
// others.
func recordNames(changes []changeView) string {
	const shown = 3
	var names []string
	for i, c := range changes {
		if i == shown {
			names = append(names, fmt.Sprintf("and %d more", len(changes)-shown))
			break
		}
		names = append(names, c.Record)
	}
	return strings.Join(names, ", ")
}

func explainCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Explain where a request was sent and why, or why it did not run",
		Args:  checkArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			return o.call(cmd, func(ctx context.Context, s *session) error {
				e, err := s.Explain(ctx, &operators.ExplainPayload{Key: s.key, ID: arguments[0]})
				if err != nil {
					return err
				}
				return o.print(explanationOf(e), func(w io.Writer) { fmt.Fprint(w, e.Text) })
			})
		},
	}
}

func whyNotCommand(o *options) *cobra.Command {
	var team, deployment, reason string
	var since, until time.Duration
	var limit int
	c := &cobra.Command{
		Use:   "why-not",
		Short: "Show refusals, by team, deployment, reason and time",
		Args:  checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.call(cmd, func(ctx context.Context, s *session) error {
				now := time.Now() //nolint:forbidigo // The flags count from the operator's clock.
				from, to := now.Add(-since).Format(time.RFC3339), now.Add(-until).Format(time.RFC3339)
				p := &operators.WhyNotPayload{Key: s.key, Team: &team, Deployment: &deployment, Reason: &reason, Since: &from, Limit: limit}
				if until > 0 {
					p.Until = &to
				}
				found, err := s.WhyNot(ctx, p)
				if err != nil {
					return err
				}
				return o.printRefusals(found)
			})
		},
	}
	c.Flags().StringVar(&team, "team", "", "team whose requests were refused; empty selects all teams")
	c.Flags().StringVar(&deployment, "deployment", "", "deployment that the requests named; empty selects all deployments")
	c.Flags().StringVar(&reason, "reason", "", "reason code of the refusals; empty selects all reasons")
	c.Flags().DurationVar(&since, "since", time.Hour, "start of the time range, as a duration before now")
	c.Flags().DurationVar(&until, "until", 0, "end of the time range, as a duration before now")
	c.Flags().IntVar(&limit, "limit", 20, "maximum number of refusals")
	return c
}
