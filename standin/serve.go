package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrmemory"
	"amaranthreach.example/core/amrserve"
	"amaranthreach.example/core/amrsettings"
	"amaranthreach.example/standin/amrengine"
	"amaranthreach.example/standin/amrkv"
	"amaranthreach.example/standin/amrservice"
	"amaranthreach.example/standin/amrstore"
	"amaranthreach.example/standin/amrweights"
)

// shutdownGracePeriod is the time that a stopping stand-in waits for the requests
// in flight.
const shutdownGracePeriod = 2 * time.Second

// serveFlags are the flags of the command "serve".
type serveFlags struct {
	platform string
	kv       string
	engines  []string
	services []string
	model    string
	weights  string
	blocks   int
}

func serveCommand() *cobra.Command {
	var flags serveFlags
	c := &cobra.Command{
		Use:   "serve",
		Short: "Serve stand-ins for the platform and for backend servers, for routers and sidecars that run as separate processes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := flags.check(); err != nil {
				return err
			}
			return serve(cmd.Context(), flags, func(name, address string) {
				fmt.Fprintf(cmd.OutOrStdout(), "serving %s at http://%s\n", name, address)
			})
		},
	}
	c.Flags().StringVar(&flags.platform, "platform", "127.0.0.1:7000", "address of the table service, object store and host list")
	c.Flags().StringVar(&flags.kv, "kv", "127.0.0.1:7001", "address of the KV cache store")
	c.Flags().StringSliceVar(&flags.engines, "engines", []string{"127.0.0.1:7101", "127.0.0.1:7102"}, "addresses of model engines")
	c.Flags().StringSliceVar(&flags.services, "services", []string{"127.0.0.1:7201"}, "addresses of plain services")
	c.Flags().StringVar(&flags.model, "model", "m1", "model that the engines serve")
	c.Flags().StringVar(&flags.weights, "weights", "w1", "version of the weights that the engines have loaded at the start")
	c.Flags().IntVar(&flags.blocks, "cache-blocks", 256, "capacity of each engine's cache in blocks")
	return c
}

// check returns an error if an address or the number of cache blocks is invalid.
func (f serveFlags) check() error {
	addresses := append([]string{f.platform, f.kv}, f.engines...)
	for _, address := range append(addresses, f.services...) {
		if err := amrsettings.CheckAddress("address", address); err != nil {
			return err
		}
	}
	if f.blocks < 1 {
		return &amrsettings.FieldError{Field: "cache-blocks", Message: "must be a positive number", Remedy: "set it to the number of blocks that an engine keeps"}
	}
	return nil
}

// serve runs the stand-ins until ctx is done. It calls started with the name and
// the address of each stand-in when it begins to listen.
func serve(ctx context.Context, flags serveFlags, started func(name, address string)) error {
	group, ctx := errgroup.WithContext(ctx)
	run := func(name, address string, handler http.Handler) error {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		started(name, listener.Addr().String())
		group.Go(func() error {
			return amrserve.Serve(ctx, listener, handler, amrserve.DefaultLimits, shutdownGracePeriod)
		})
		return nil
	}
	store := amrweights.New()
	if err := run("platform", flags.platform, amrstore.New(amrmemory.New()).Handler()); err != nil {
		return err
	}
	if err := run("kv", flags.kv, amrkv.New().Handler()); err != nil {
		return err
	}
	for i, address := range flags.engines {
		engine := amrengine.New(
			amrengine.WithModel(flags.model),
			amrengine.WithWeights(flags.weights),
			amrengine.WithCacheBlocks(flags.blocks),
			amrengine.WithSeed(uint64(i)+1),
			amrengine.WithWeightStore(store),
		)
		if err := run(fmt.Sprintf("engine-%d", i+1), address, engine.Handler()); err != nil {
			return err
		}
	}
	for i, address := range flags.services {
		if err := run(fmt.Sprintf("service-%d", i+1), address, amrservice.New().Handler()); err != nil {
			return err
		}
	}
	return group.Wait()
}
