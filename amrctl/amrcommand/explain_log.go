package amrcommand

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"amaranthreach.example/core/amrlog"
)

func explainLogCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "explain-log ID [FILE...]",
		Short: "Tell the story of a request from the logs of routers",
		Long: "explain-log reads logs of routers that reach backend servers directly, from files\n" +
			"or standard input, and prints what became of the request: where it was sent and\n" +
			"why, and what the router and its servers did before.",
		Args: args(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			logs, closeLogs, err := openLogs(cmd.InOrStdin(), arguments[1:])
			if err != nil {
				return usageError{err}
			}
			defer closeLogs()
			story, unread, err := amrlog.ReadRequestLog(logs, arguments[0])
			if err != nil {
				return err
			}
			if unread > 0 {
				fmt.Fprintf(o.streams.Err, "amrctl: %d lines are no lines of a log, passed over\n", unread)
			}
			_, err = story.WriteTo(o.streams.Out)
			return err
		},
	}
}

// openLogs returns the files' contents one after the other, or standard input
// where there are none.
func openLogs(in io.Reader, names []string) (logs io.Reader, closeAll func(), err error) {
	if len(names) == 0 {
		return in, func() {}, nil
	}
	var files []*os.File
	closeAll = func() {
		for _, f := range files {
			_ = f.Close() // They were only read.
		}
	}
	var readers []io.Reader
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, fmt.Errorf("cannot read the log; name a readable file: %w", err)
		}
		files = append(files, f)
		readers = append(readers, f)
	}
	return io.MultiReader(readers...), closeAll, nil
}
