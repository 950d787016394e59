// Command amr-router runs a router, which forwards requests of callers to backend
// servers.
package main

import (
	"context"
	"os"

	"amaranthreach.example/core/amrprogram"
	"amaranthreach.example/router/amrrouter"
)

func main() {
	os.Exit(amrprogram.Main(amrprogram.ServerCommand(
		"amr-router",
		"Route requests of callers to backend servers",
		amrrouter.DefaultSettings(),
		func(ctx context.Context, settings amrrouter.Settings) error {
			return amrrouter.Run(ctx, settings)
		},
	)))
}
