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
	leaseTTL       = 300 * time.Millisecond
	orderTimeout   = 500 * time.Millisecond
	rolloutTimeout = 20 * time.Second
	pollInterval   = 5 * time.Millisecond
	callerCount    = 3
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

// TestRollouts runs the scripts in testdata/rollouts, which roll out weights
// and inject faults, while callers send requests in succession. It checks that
// every request is answered, that no more than amrorder.MaxConcurrentLoads
// loads run at the same time, and that the fences of the orders which an engine
// executes never decrease.
func TestRollouts(t *testing.T) {
	datadriven.Walk(t, "testdata/rollouts", func(t *testing.T, path string) {
		t.Parallel()
		is := is.New(t)
		config := amrfleet.DefaultConfig
		config.TimeScale = 20
		config.Services = 0
		config.SidecarOptions = []amrsidecar.Option{amrsidecar.WithInitialOrderDelay(0)}
		config.RouterOptions = []amrrouter.Option{amrrouter.WithRolloutTimeouts(leaseTTL, orderTimeout)}
		fleet, err := amrfleet.Start(context.Background(), config)
		is.NoErr(err)
		defer func() { is.NoErr(fleet.Stop()) }()
		r := &rolloutTest{fleet: fleet, stop: make(chan struct{})}
		datadriven.RunTest(t, path, r.runCommand)
		close(r.stop)
		is.NoErr(r.callers.Wait())
		is.True(r.answered.Load() > 0)
		is.True(fleet.WeightStore.PeakConcurrentLoads() <= amrorder.MaxConcurrentLoads)
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

// TestSingleEngineRollout changes the weights of the only engine several times
// while callers send requests. It checks that requests which arrive during a
// load wait for its end and are answered.
func TestSingleEngineRollout(t *testing.T) {
	is := is.New(t)
	config := amrfleet.DefaultConfig
	config.TimeScale = 20
	config.Engines, config.Services = 1, 0
	config.SidecarOptions = []amrsidecar.Option{amrsidecar.WithInitialOrderDelay(0)}
	config.RouterOptions = []amrrouter.Option{
		amrrouter.WithRolloutTimeouts(leaseTTL, orderTimeout),
		amrrouter.WithReadyWaitLimit(rolloutTimeout), // So that a slow machine does not decide the outcome.
	}
	fleet, err := amrfleet.Start(context.Background(), config)
	is.NoErr(err)
	defer func() { is.NoErr(fleet.Stop()) }()
	r := &rolloutTest{fleet: fleet, stop: make(chan struct{})}
	datadriven.RunTest(t, "testdata/single-engine-rollout", r.runCommand)
	close(r.stop)
	is.NoErr(r.callers.Wait())
	is.True(r.answered.Load() > 0)
}

// rolloutTest runs the commands of a script on a fleet.
type rolloutTest struct {
	fleet    *amrfleet.Fleet
	callers  errgroup.Group
	stop     chan struct{} // Closed to stop the callers.
	answered atomic.Int64  // Number of answered requests.
	urls     []string      // URLs of the routers' callers' interfaces.
}

func (r *rolloutTest) runCommand(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "records":
		return applyRecords(t, r.fleet, d.Input)
	case "versions": // Input: one WEIGHTS SHARE per line.
		return r.setVersions(t, d.Input)
	case "callers":
		for _, router := range r.fleet.Routers {
			r.urls = append(r.urls, router.CallersURL()) // A restart does not change them.
		}
		for i := range callerCount {
			r.callers.Go(func() error { return r.sendRequests(i) })
		}
	case "await": // Arguments: VERSION=COUNT...
		return r.awaitVersions(d)
	case "outage":
		r.fleet.Platform.SetFaults(amrmemory.Faults{Down: d.CmdArgs[0].Key == "on"})
	case "lose-answers":
		r.fleet.Platform.SetFaults(amrmemory.Faults{LostAnswerRate: 0.5})
	case "kill-holder":
		leaseHolder, err := r.leaseHolder(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		leaseHolder.Kill()
		if err := r.fleet.StartRouter(leaseHolder); err != nil {
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

// setVersions applies a record of the deployment with the versions and shares
// of the input.
func (r *rolloutTest) setVersions(t *testing.T, input string) string {
	var versions []string
	for line := range strings.SplitSeq(input, "\n") {
		weights, share, _ := strings.Cut(line, " ")
		versions = append(versions, fmt.Sprintf("{weights: %s, share: %s}", weights, share))
	}
	return applyRecords(t, r.fleet, fmt.Sprintf(modelRecord, strings.Join(versions, ", ")))
}

func (r *rolloutTest) engine(name string) *amrfleet.Server {
	i := slices.IndexFunc(r.fleet.Servers, func(s *amrfleet.Server) bool { return s.Name == name })
	return r.fleet.Servers[i]
}

// leaseHolder returns the router that holds the rollout lease.
func (r *rolloutTest) leaseHolder(ctx context.Context) (*amrfleet.RouterProcess, error) {
	item, err := r.fleet.Platform.Get(ctx, amrorder.LeaseKey(amrfleet.ModelDeployment))
	if err != nil {
		return nil, err
	}
	for _, router := range r.fleet.Routers {
		if strings.Contains(string(item.Value), `"`+router.Name()+"/") {
			return router, nil
		}
	}
	return nil, fmt.Errorf("no router of the fleet holds the lease: its value is %s", item.Value)
}

// awaitVersions waits until at least as many engines have loaded each version
// as its argument says. If that takes too long, it returns the number of
// engines per version.
func (r *rolloutTest) awaitVersions(d *datadriven.TestData) string {
	ctx, cancel := context.WithTimeout(context.Background(), rolloutTimeout)
	defer cancel()
	ticker := clockwork.NewRealClock().NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		engineCounts := make(map[string]int)
		for _, s := range r.fleet.Servers {
			if s.Engine != nil {
				engineCounts[s.Engine.State(nil).Weights]++
			}
		}
		reached := true
		for _, arg := range d.CmdArgs {
			var count int
			_, _ = fmt.Sscan(arg.Vals[0], &count)
			reached = reached && engineCounts[arg.Key] >= count
		}
		if reached {
			return "ok"
		}
		select {
		case <-ctx.Done():
			return fmt.Sprintf("engines per version: %v", engineCounts)
		case <-ticker.Chan():
		}
	}
}

// sendRequests sends requests in succession until the test stops. It returns an
// error as soon as a request is not answered.
func (r *rolloutTest) sendRequests(caller int) error {
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

// send sends a request to a router and, if that is down or not ready, to the
// following ones. It tries each router at most twice.
func (r *rolloutTest) send(client *http.Client, firstRouter int, body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), rolloutTimeout)
	defer cancel()
	var lastErr error
	for i := range 2 * len(r.urls) {
		url := r.urls[(firstRouter+i)%len(r.urls)] + "/v1/completions"
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
		if err != nil {
			return err
		}
		request.Header.Set("Authorization", "Bearer key-of-recife")
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			lastErr = err
			continue
		}
		answer, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			lastErr = err
			continue
		}
		if bytes.Contains(answer, []byte(`"code":"not-ready"`)) {
			lastErr = fmt.Errorf("status %d: %s", response.StatusCode, answer)
			continue
		}
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d: %s", response.StatusCode, answer)
		}
		return nil
	}
	return lastErr
}
