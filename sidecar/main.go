// Command amr-sidecar runs next to one backend server. Routers dispatch requests
// to it, and it accepts or declines each of them for the backend server.
package main

import (
	"context"
	"os"

	"amaranthreach.example/core/amrprogram"
	"amaranthreach.example/sidecar/amrsidecar"
)

func main() {
	os.Exit(amrprogram.Main(amrprogram.ServerCommand(
		"amr-sidecar",
		"Run next to a backend server and accept or decline requests for it",
		amrsidecar.DefaultSettings(),
		func(ctx context.Context, settings amrsidecar.Settings) error {
			return amrsidecar.Run(ctx, settings)
		},
	)))
}
