package amrcommand

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/pmezard/go-difflib/difflib"
	"github.com/spf13/cobra"

	"amaranthreach.example/router/gen/operators"
)

// changer makes a change at a router, or only checks it.
type changer func(context.Context, *session, amendment) (*operators.Applied, error)

func applyCommand(o *options) *cobra.Command {
	var files []string
	var a amendment
	c := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Put the records of files or folders, all or none",
		Args:  args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			records, err := readFiles(files)
			if err != nil {
				return err
			}
			return o.run(cmd, a, applying(records, nil))
		},
	}
	c.Flags().StringArrayVarP(&files, "filename", "f", nil, "file or folder with records")
	a.flags(c)
	return c
}

func diffCommand(o *options) *cobra.Command {
	var files []string
	c := &cobra.Command{
		Use:   "diff -f FILE",
		Short: "Show what apply would change",
		Args:  args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			records, err := readFiles(files)
			if err != nil {
				return err
			}
			return o.run(cmd, amendment{dryRun: true}, applying(records, nil))
		},
	}
	c.Flags().StringArrayVarP(&files, "filename", "f", nil, "file or folder with records")
	return c
}

func deleteCommand(o *options) *cobra.Command {
	var a amendment
	c := &cobra.Command{
		Use:   "delete KIND/NAME...",
		Short: "Delete records, all or none",
		Args:  args(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, names []string) error {
			return o.run(cmd, a, applying(nil, names))
		},
	}
	a.flags(c)
	return c
}

func rollbackCommand(o *options) *cobra.Command {
	var a amendment
	c := &cobra.Command{
		Use:   "rollback REVISION",
		Short: "Bring back the records of an older revision, as a new one",
		Args:  args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			revision, err := strconv.ParseUint(arguments[0], 10, 64)
			if err != nil {
				return usageError{fmt.Errorf("%q is no revision; see them with: amrctl history", arguments[0])}
			}
			return o.run(cmd, a, func(ctx context.Context, s *session, a amendment) (*operators.Applied, error) {
				return s.Rollback(ctx, &operators.RollbackPayload{Key: s.key, Operator: a.operator, Reason: a.reason,
					Token: &a.token, Base: a.base, DryRun: a.dryRun, Revision: revision})
			})
		},
	}
	a.flags(c)
	return c
}

func drainCommand(o *options) *cobra.Command {
	var a amendment
	var undo bool
	c := &cobra.Command{
		Use:   "drain BACKEND-SERVER",
		Short: "Send a backend server no new work",
		Args:  args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			return o.run(cmd, a, func(ctx context.Context, s *session, a amendment) (*operators.Applied, error) {
				return s.Drain(ctx, &operators.DrainPayload{Key: s.key, Operator: a.operator, Reason: a.reason,
					Token: &a.token, Base: a.base, DryRun: a.dryRun, Name: arguments[0], Undo: undo})
			})
		},
	}
	c.Flags().BoolVar(&undo, "undo", false, "let it take work again")
	a.flags(c)
	return c
}

func (a *amendment) flags(c *cobra.Command) {
	c.Flags().StringVar(&a.reason, "reason", "", "why the change is made, for the audit trail")
	c.Flags().StringVar(&a.token, "token", "", "identifies the change, to run a command again whose outcome is not known")
	c.Flags().Uint64Var(&a.base, "base", 0, "revision that the change was made on; the one that the diff is shown against when 0")
	c.Flags().BoolVar(&a.dryRun, "dry-run", false, "check and show the change only")
}

func applying(files []*operators.RecordFile, remove []string) changer {
	return func(ctx context.Context, s *session, a amendment) (*operators.Applied, error) {
		return s.Apply(ctx, &operators.ApplyPayload{Key: s.key, Operator: a.operator, Reason: a.reason,
			Token: &a.token, Base: a.base, DryRun: a.dryRun, Files: files, Delete: remove})
	}
}

// run shows what the change does and then makes it, on the revision that it
// was shown against.
func (o *options) run(cmd *cobra.Command, a amendment, change changer) error {
	repeated := a.token != "" && !a.dryRun
	if err := o.amend(&a); err != nil {
		return err
	}
	return o.call(cmd, func(ctx context.Context, s *session) error {
		if !repeated {
			preview := a
			preview.dryRun = true
			shown, err := change(ctx, s, preview)
			if err != nil {
				return err
			}
			if err := o.printChanges(shown.Changes); err != nil {
				return err
			}
			if a.dryRun || len(shown.Changes) == 0 {
				return o.printApplied(shown, len(shown.Changes) == 0)
			}
			if a.base == 0 {
				a.base = shown.Revision
			}
		}
		done, err := o.change(ctx, a, func(a amendment) (*operators.Applied, error) { return change(ctx, s, a) })
		if err != nil {
			return err
		}
		return o.printApplied(done, false)
	})
}

func (o *options) printChanges(changes []*operators.RecordChange) error {
	if o.output != "table" {
		return nil
	}
	for _, c := range changes {
		if err := writeDiff(o.streams.Out, c); err != nil {
			return err
		}
	}
	return nil
}

func writeDiff(w io.Writer, c *operators.RecordChange) error {
	return difflib.WriteUnifiedDiff(w, difflib.UnifiedDiff{
		A:        lines(c.Before),
		B:        lines(c.After),
		FromFile: c.Record,
		ToFile:   c.Record,
		Context:  3,
	})
}

// lines returns the lines of the text, each with its end.
func lines(text string) []string {
	all := strings.SplitAfter(text, "\n")
	return all[:len(all)-1]
}

type appliedView struct {
	Revision uint64       `json:"revision"`
	Changes  []changeView `json:"changes"`
}

type changeView struct {
	Record string `json:"record"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

func changeViews(changes []*operators.RecordChange) []changeView {
	views := make([]changeView, 0, len(changes))
	for _, c := range changes {
		views = append(views, changeView{c.Record, c.Before, c.After})
	}
	return views
}

func (o *options) printApplied(done *operators.Applied, nothing bool) error {
	return o.print(appliedView{done.Revision, changeViews(done.Changes)}, func(w io.Writer) {
		if nothing {
			fmt.Fprintf(w, "nothing to change at revision %d\n", done.Revision)
			return
		}
		fmt.Fprintf(w, "%d records changed, revision %d\n", len(done.Changes), done.Revision)
	})
}
