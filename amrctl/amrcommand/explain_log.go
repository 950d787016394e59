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
		Short: "Show what happened to a request, from the logs of routers",
		Long: "explain-log reads logs of routers that send requests to backend servers directly,\n" +
			"from files or standard input. It prints where the request was sent and why, and\n" +
			"what the router and its servers did before that.",
		Args: checkArgs(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			logs, closeLogs, err := openLogs(cmd.InOrStdin(), arguments[1:])
			if err != nil {
				return usageError{err}
			}
			defer closeLogs()
			requestLog, skipped, err := amrlog.ReadRequestLog(logs, arguments[0])
			if err != nil {
				return err
			}
			if skipped > 0 {
				fmt.Fprintf(o.streams.Err, "amrctl: skipped %d lines that cannot be parsed as log lines\n", skipped)
			}
			_, err = requestLog.WriteTo(o.streams.Out)
			return err
		},
	}
}

// openLogs returns a reader of the files' contents, one after the other, or in if no
// files are named. The caller calls closeAll when it has read them.
func openLogs(in io.Reader, names []string) (logs io.Reader, closeAll func(), err error) {
	if len(names) == 0 {
		return in, func() {}, nil
	}
	var files []*os.File
	closeAll = func() {
		for _, f := range files {
			_ = f.Close() // The files were only read, so an error loses no data.
		}
	}
	var readers []io.Reader
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, fmt.Errorf("cannot open the log file: %w; name a readable file", err)
		}
		files = append(files, f)
		readers = append(readers, f)
	}
	return io.MultiReader(readers...), closeAll, nil
}
