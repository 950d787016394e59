package amrcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/pmezard/go-difflib/difflib"
	"github.com/spf13/cobra"

	"amaranthreach.example/router/gen/operators"
)

// changeFunc sends a change of the records to a router. For a dry run, the router
// only checks it.
type changeFunc func(context.Context, *session, changeParams) (*operators.Applied, error)

func applyCommand(o *options) *cobra.Command {
	var files []string
	var p changeParams
	c := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Create or replace the records in files or folders, all of them or none",
		Args:  checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			records, err := readFiles(files)
			if err != nil {
				return err
			}
			return o.runChange(cmd, p, applyChange(records, nil))
		},
	}
	c.Flags().StringArrayVarP(&files, "filename", "f", nil, "file or folder with records")
	p.addFlags(c)
	return c
}

func diffCommand(o *options) *cobra.Command {
	var files []string
	c := &cobra.Command{
		Use:   "diff -f FILE",
		Short: "Show what apply would change",
		Args:  checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			records, err := readFiles(files)
			if err != nil {
				return err
			}
			return o.runChange(cmd, changeParams{dryRun: true}, applyChange(records, nil))
		},
	}
	c.Flags().StringArrayVarP(&files, "filename", "f", nil, "file or folder with records")
	return c
}

func deleteCommand(o *options) *cobra.Command {
	var p changeParams
	c := &cobra.Command{
		Use:   "delete KIND/NAME...",
		Short: "Delete records, all of them or none",
		Args:  checkArgs(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, names []string) error {
			return o.runChange(cmd, p, applyChange(nil, names))
		},
	}
	p.addFlags(c)
	return c
}

func rollbackCommand(o *options) *cobra.Command {
	var p changeParams
	c := &cobra.Command{
		Use:   "rollback REVISION",
		Short: "Restore the records of an older revision as a new revision",
		Args:  checkArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			revision, err := strconv.ParseUint(arguments[0], 10, 64)
			if err != nil {
				return usageError{fmt.Errorf("%q is not a revision number; list the revisions with: amrctl history", arguments[0])}
			}
			return o.runChange(cmd, p, func(ctx context.Context, s *session, p changeParams) (*operators.Applied, error) {
				return s.Rollback(ctx, &operators.RollbackPayload{Key: s.key, Operator: p.operator, Reason: p.reason,
					Token: &p.token, Base: p.base, DryRun: p.dryRun, Revision: revision})
			})
		},
	}
	p.addFlags(c)
	return c
}

func drainCommand(o *options) *cobra.Command {
	var p changeParams
	var undo bool
	c := &cobra.Command{
		Use:   "drain BACKEND-SERVER",
		Short: "Stop sending new requests to a backend server",
		Args:  checkArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			return o.runChange(cmd, p, func(ctx context.Context, s *session, p changeParams) (*operators.Applied, error) {
				return s.Drain(ctx, &operators.DrainPayload{Key: s.key, Operator: p.operator, Reason: p.reason,
					Token: &p.token, Base: p.base, DryRun: p.dryRun, Name: arguments[0], Undo: undo})
			})
		},
	}
	c.Flags().BoolVar(&undo, "undo", false, "send new requests to the backend server again")
	p.addFlags(c)
	return c
}

// addFlags adds the flags of all commands that change records.
func (p *changeParams) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&p.reason, "reason", "", "why the change is made, for the audit trail")
	c.Flags().StringVar(&p.token, "token", "", "identifier of the change; to repeat a command whose outcome is not known, set it and --base to what the command printed")
	c.Flags().Uint64Var(&p.base, "base", 0, "revision that the change is based on; 0 selects the one that the printed differences were computed against")
	c.Flags().BoolVar(&p.dryRun, "dry-run", false, "only check and show the change")
}

// applyChange returns a change that applies the records of the files and deletes the
// records named by remove.
func applyChange(files []*operators.RecordFile, remove []string) changeFunc {
	return func(ctx context.Context, s *session, p changeParams) (*operators.Applied, error) {
		return s.Apply(ctx, &operators.ApplyPayload{Key: s.key, Operator: p.operator, Reason: p.reason,
			Token: &p.token, Base: p.base, DryRun: p.dryRun, Files: files, Delete: remove})
	}
}

// runChange prints the differences that a change makes and then makes it. Unless
// --base is set, the change is based on the revision that the differences were
// computed against, so that it fails if somebody else has changed the same records
// since that revision. If --token is set, the command repeats a change that may
// already be in force, so it makes the change without printing differences first, and
// needs --base.
func (o *options) runChange(cmd *cobra.Command, p changeParams, makeChange changeFunc) error {
	repeated := p.token != "" && !p.dryRun
	if repeated && !cmd.Flags().Changed("base") {
		return usageError{errors.New("--token repeats a change; set --base to the revision that was printed with the token")}
	}
	if err := o.completeParams(&p); err != nil {
		return err
	}
	return o.call(cmd, func(ctx context.Context, s *session) error {
		if !repeated {
			preview := p
			preview.dryRun = true
			shown, err := makeChange(ctx, s, preview)
			if err != nil {
				return err
			}
			if err := o.printChanges(shown.Changes); err != nil {
				return err
			}
			if p.dryRun || len(shown.Changes) == 0 {
				return o.printApplied(shown, len(shown.Changes) == 0)
			}
			if p.base == 0 {
				p.base = shown.Revision
			}
		}
		done, err := o.applyWithRetries(ctx, p, func(p changeParams) (*operators.Applied, error) { return makeChange(ctx, s, p) })
		if err != nil {
			return err
		}
		return o.printApplied(done, false)
	})
}

// printChanges prints the changes as unified diffs, if the output is a table.
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

// writeDiff writes the change of a record as a unified diff.
func writeDiff(w io.Writer, c *operators.RecordChange) error {
	return difflib.WriteUnifiedDiff(w, difflib.UnifiedDiff{
		A:        splitLines(c.Before),
		B:        splitLines(c.After),
		FromFile: c.Record,
		ToFile:   c.Record,
		Context:  3,
	})
}

// splitLines returns the lines of the text, each with its newline. It omits a last
// line without a newline.
func splitLines(text string) []string {
	all := strings.SplitAfter(text, "\n")
	return all[:len(all)-1]
}

// appliedView is the output of a command that changes records.
type appliedView struct {
	Revision uint64       `json:"revision"`
	Changes  []changeView `json:"changes"`
}

// changeView is the output for the change of one record. Before is empty if the
// record was created, After if it was deleted.
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

// printApplied prints the result of a change. If unchanged is set, there was nothing
// to change.
func (o *options) printApplied(done *operators.Applied, unchanged bool) error {
	return o.print(appliedView{done.Revision, changeViews(done.Changes)}, func(w io.Writer) {
		if unchanged {
			fmt.Fprintf(w, "nothing to change at revision %d\n", done.Revision)
			return
		}
		fmt.Fprintf(w, "%d records changed, revision %d\n", len(done.Changes), done.Revision)
	})
}
