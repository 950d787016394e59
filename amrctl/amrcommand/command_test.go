package amrcommand_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/amrctl/amrcommand"
	"amaranthreach.example/core/amrmemory"
	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrsuspect"
	"amaranthreach.example/router/amrrouter"
)

const operatorKey = "key-of-the-operators"

// TestScripts runs each script of testdata against a router of its own. Besides the
// commands of testscript, scripts can use:
//
//   - amrctl CODE ARGS... runs the command line and requires the exit code.
//   - faults N makes the table lose the answers to the next N writes.
//   - tamper REVISION edits an entry of the audit trail.
//   - strike TEAM TEXT CRASHES... records that backend servers crashed while they ran
//     the team's request with the text, and sets $FINGERPRINT to the request's
//     fingerprint.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"amrctl": runCommand,
			"faults": setFaults,
			"tamper": tamperWithEntry,
			"strike": recordStrikes,
		},
	})
}

// platformKey is the key of the script's platform in testscript.Env.Values.
type platformKey struct{}

// setup starts a router without any records, and sets the environment for amrctl.
func setup(env *testscript.Env) error {
	platform := amrmemory.New()
	listeners := amrrouter.Listeners{}
	var err error
	if listeners.Callers, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	if listeners.Operators, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	digest := sha256.Sum256([]byte(operatorKey))
	settings := amrrouter.DefaultSettings()
	settings.Name = "router-1"
	settings.AvailabilityZone = "a"
	settings.StopDelay = 0
	settings.OperatorKeys = []string{hex.EncodeToString(digest[:])}
	router, err := amrrouter.New(settings, amrrouter.WithPlatform(platform), amrrouter.WithListeners(listeners), amrrouter.WithLogger(slog.New(slog.DiscardHandler)))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return router.Run(ctx) })
	env.Defer(func() {
		stop()
		_ = group.Wait() // The scripts check the router's behavior; its error does not matter.
	})
	env.Values[platformKey{}] = platform
	env.Setenv("AMRCTL_SERVER", "http://"+listeners.Operators.Addr().String())
	env.Setenv("AMRCTL_KEY", operatorKey)
	env.Setenv("USER", "ana")
	return nil
}

// runCommand runs amrctl. Arguments that follow -f are made absolute, since the
// command line runs in the working directory of the test.
func runCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: amrctl CODE ARGS...")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	arguments := make([]string, len(args)-1)
	for i, arg := range args[1:] {
		arguments[i] = arg
		if i > 0 && args[i] == "-f" {
			arguments[i] = ts.MkAbs(arg)
		}
	}
	code := amrcommand.Run(context.Background(), arguments, amrcommand.Streams{Out: ts.Stdout(), Err: ts.Stderr(), Getenv: ts.Getenv})
	if code != want {
		ts.Fatalf("exit code %d, want %d", code, want)
	}
}

// setFaults makes the table lose the answers to the next writes.
func setFaults(ts *testscript.TestScript, _ bool, args []string) {
	lost, err := strconv.Atoi(args[0])
	ts.Check(err)
	platformOf(ts).SetFaults(amrmemory.Faults{LoseNextAnswers: lost})
}

// recordStrikes writes the strikes of a request to the table.
func recordStrikes(ts *testscript.TestScript, _ bool, args []string) {
	store := amrsuspect.NewStore(platformOf(ts))
	fingerprint := amrsuspect.FingerprintOf(args[0], args[1])
	for _, crash := range args[2:] {
		ts.Check(store.RecordCrash(context.Background(), fingerprint, args[0], crash))
	}
	ts.Setenv("FINGERPRINT", fingerprint.String())
}

// tamperWithEntry changes the operator's name in an entry of the audit trail.
func tamperWithEntry(ts *testscript.TestScript, _ bool, args []string) {
	revision, err := strconv.Atoi(args[0])
	ts.Check(err)
	key := fmt.Sprintf("config/log/%020d", revision)
	platform := platformOf(ts)
	item, err := platform.Get(context.Background(), key)
	ts.Check(err)
	value := append([]byte(" "), item.Value...)
	for i := range value {
		if string(value[i:min(i+3, len(value))]) == "ana" {
			copy(value[i:], "rui")
		}
	}
	ts.Check(platform.Commit(context.Background(), amrplatform.Txn{Puts: []amrplatform.Put{{Key: key, Value: value}}}))
}

// platformOf returns the platform of the running script.
func platformOf(ts *testscript.TestScript) *amrmemory.Platform {
	platform, ok := ts.Value(platformKey{}).(*amrmemory.Platform)
	if !ok {
		ts.Fatalf("setup stored no platform for the script")
	}
	return platform
}

func TestExitCode(t *testing.T) {
	is := is.New(t)
	is.Equal(amrcommand.ExitCode(nil), amrcommand.CodeOK)
	is.Equal(amrcommand.ExitCode(fmt.Errorf("unexpected")), amrcommand.CodeFailed)
}
