package amrfleet_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrmemory"
	"amaranthreach.example/core/amrorder"
	"amaranthreach.example/router/amrrouter"
	"amaranthreach.example/sidecar/amrsidecar"
	"amaranthreach.example/standin/amrfleet"
)

const (
	rolloutTTL   = 300 * time.Millisecond
	rolloutOrder = 500 * time.Millisecond
	rolloutWait  = 20 * time.Second
	pollInterval = 5 * time.Millisecond
	callers      = 3
)

const modelRecord = `kind: deployment
schema-version: 2
name: m1
spec:
  type: model
  model: m1
  versions: [%s]
  routing-policy: balanced
`

// TestRollouts plays the rollouts of testdata/rollouts, with faults on the way,
// while callers send one request after another. Every request has to be
// answered, no more loads may run at once than allowed, and the engines, which
// do not check orders, must never see an older one after a newer one.
func TestRollouts(t *testing.T) {
	datadriven.Walk(t, "testdata/rollouts", func(t *testing.T, path string) {
		t.Parallel()
		is := is.New(t)
		config := amrfleet.DefaultConfig
		config.TimeScale = 20
		config.Services = 0
		config.SidecarOptions = []amrsidecar.Option{amrsidecar.WithOrderSettle(0)}
		config.RouterOptions = []amrrouter.Option{amrrouter.WithOrderTimes(rolloutTTL, rolloutOrder)}
		fleet, err := amrfleet.Start(context.Background(), config)
		is.NoErr(err)
		defer func() { is.NoErr(fleet.Stop()) }()
		r := &rolling{fleet: fleet, stop: make(chan struct{})}
		datadriven.RunTest(t, path, r.run)
		close(r.stop)
		is.NoErr(r.callers.Wait())
		is.True(r.answered.Load() > 0)
		is.True(fleet.Weights.PeakConcurrentLoads() <= amrorder.MaxConcurrentLoads)
		for _, s := range fleet.Servers {
			if s.Engine == nil {
				continue
			}
			var highest uint64
			for _, order := range s.Engine.Orders() {
				is.True(order.Fence >= highest)
				highest = order.Fence
			}
		}
	})
}

// TestSingleEngineRollout changes the weights of the only engine again and
// again while callers send requests. Those that come while it loads have to wait
// for the moment that this takes, and none may be refused.
func TestSingleEngineRollout(t *testing.T) {
	is := is.New(t)
	config := amrfleet.DefaultConfig
	config.TimeScale = 20
	config.Engines, config.Services = 1, 0
	config.SidecarOptions = []amrsidecar.Option{amrsidecar.WithOrderSettle(0)}
	config.RouterOptions = []amrrouter.Option{
		amrrouter.WithOrderTimes(rolloutTTL, rolloutOrder),
		amrrouter.WithReadyWaitLimit(rolloutWait), // So that a slow machine does not decide the outcome.
	}
	fleet, err := amrfleet.Start(context.Background(), config)
	is.NoErr(err)
	defer func() { is.NoErr(fleet.Stop()) }()
	r := &rolling{fleet: fleet, stop: make(chan struct{})}
	datadriven.RunTest(t, "testdata/single-engine-rollout", r.run)
	close(r.stop)
	is.NoErr(r.callers.Wait())
	is.True(r.answered.Load() > 0)
}

type rolling struct {
	fleet    *amrfleet.Fleet
	callers  errgroup.Group
	stop     chan struct{}
	answered atomic.Int64
	urls     []string
}

func (r *rolling) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "records":
		return apply(t, r.fleet, d.Input)
	case "versions": // WEIGHTS SHARE, one in each line
		return r.setVersions(t, d.Input)
	case "callers":
		for _, router := range r.fleet.Routers {
			r.urls = append(r.urls, router.CallersURL()) // They stay over restarts.
		}
		for i := range callers {
			r.callers.Go(func() error { return r.call(i) })
		}
	case "await": // VERSION=COUNT...
		return r.await(d)
	case "outage":
		r.fleet.Platform.SetFaults(amrmemory.Faults{Down: d.CmdArgs[0].Key == "on"})
	case "lose-answers":
		r.fleet.Platform.SetFaults(amrmemory.Faults{LostAnswerRate: 0.5})
	case "kill-holder":
		holder, err := r.holder(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		holder.Kill()
		if err := r.fleet.StartRouter(holder); err != nil {
			t.Fatal(err)
		}
	case "crash":
		r.engine(d.CmdArgs[0].Key).Engine.Restart()
	case "restart-sidecar":
		s := r.engine(d.CmdArgs[0].Key)
		_ = s.Sidecar.Stop()
		if err := r.fleet.StartSidecar(s); err != nil {
			t.Fatal(err)
		}
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return "ok"
}

func (r *rolling) setVersions(t *testing.T, input string) string {
	var versions []string
	for line := range strings.SplitSeq(input, "\n") {
		weights, share, _ := strings.Cut(line, " ")
		versions = append(versions, fmt.Sprintf("{weights: %s, share: %s}", weights, share))
	}
	return apply(t, r.fleet, fmt.Sprintf(modelRecord, strings.Join(versions, ", ")))
}

func (r *rolling) engine(name string) *amrfleet.Server {
	i := slices.IndexFunc(r.fleet.Servers, func(s *amrfleet.Server) bool { return s.Name == name })
	return r.fleet.Servers[i]
}

// holder returns the router that holds the lease of the model's orders.
func (r *rolling) holder(ctx context.Context) (*amrfleet.RouterProcess, error) {
	item, err := r.fleet.Platform.Get(ctx, amrorder.LeaseKey(amrfleet.ModelDeployment))
	if err != nil {
		return nil, err
	}
	for _, router := range r.fleet.Routers {
		if strings.Contains(string(item.Value), `"`+router.Name()+"/") {
			return router, nil
		}
	}
	return nil, fmt.Errorf("no router holds the lease: %s", item.Value)
}

// await waits until as many engines hold each version as the arguments say.
func (r *rolling) await(d *datadriven.TestData) string {
	ctx, cancel := context.WithTimeout(context.Background(), rolloutWait)
	defer cancel()
	ticker := clockwork.NewRealClock().NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		held := make(map[string]int)
		for _, s := range r.fleet.Servers {
			if s.Engine != nil {
				held[s.Engine.State(nil).Weights]++
			}
		}
		reached := true
		for _, arg := range d.CmdArgs {
			var count int
			_, _ = fmt.Sscan(arg.Vals[0], &count)
			reached = reached && held[arg.Key] >= count
		}
		if reached {
			return "ok"
		}
		select {
		case <-ctx.Done():
			return fmt.Sprintf("held %v", held)
		case <-ticker.Chan():
		}
	}
}

// call sends requests until the test stops, and returns an error for the first
// one that is not answered.
func (r *rolling) call(caller int) error {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-r.stop:
			return nil
		default:
		}
		body := fmt.Sprintf(`{"model":"m1","prompt":"Request %d of caller %d","max_tokens":3,"stream":false,"idempotent":true}`, n, caller)
		if err := r.send(client, n+caller, body); err != nil {
			return err
		}
		r.answered.Add(1)
	}
}

// send sends a request to one router and, when that is not there, to the next.
func (r *rolling) send(client *http.Client, turn int, body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), rolloutWait)
	defer cancel()
	var last error
	for i := range 2 * len(r.urls) {
		url := r.urls[(turn+i)%len(r.urls)] + "/v1/completions"
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
		if err != nil {
			return err
		}
		request.Header.Set("Authorization", "Bearer key-of-recife")
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			last = err
			continue
		}
		answer, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			last = err
			continue
		}
		if bytes.Contains(answer, []byte(`"code":"not-ready"`)) {
			last = fmt.Errorf("status %d: %s", response.StatusCode, answer)
			continue
		}
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d: %s", response.StatusCode, answer)
		}
		return nil
	}
	return last
}
