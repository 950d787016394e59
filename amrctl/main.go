// Command amrctl is the operators' command line client. It changes and shows
// records, lifts quarantines, and shows the decisions, the audit trail and the status
// of routers and backend servers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"amaranthreach.example/amrctl/amrcommand"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := amrcommand.Run(ctx, os.Args[1:], amrcommand.Streams{Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv})
	stop()
	os.Exit(code)
}
