// Command amr-sidecar runs beside a backend server and admits its work.
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
		"Run beside a backend server and admit its work",
		amrsidecar.DefaultSettings(),
		func(ctx context.Context, settings amrsidecar.Settings) error {
			return amrsidecar.Run(ctx, settings)
		},
	)))
}
