package amrfleet_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"amaranthreach.example/standin/amrengine"
	"amaranthreach.example/standin/amrfleet"
)

// streamEvent is an event of a streamed completion.
type streamEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	End *struct {
		Digest string `json:"digest"`
	} `json:"end"`
	Error *struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

// cuts says by event of an answer how what serves it is broken.
type cuts map[int]string

// after returns the first cut after the event, or 0 if there is none.
func (c cuts) after(event int) int {
	first := 0
	for at := range c {
		if at > event && (first == 0 || at < first) {
			first = at
		}
	}
	return first
}

// stream reads a streamed answer. An argument such as at3=crash-engine breaks
// what serves it after the third event; the engines go no further until it is
// broken. It returns the text, how it ended, and the runs of the engines.
func stream(t *testing.T, fleet *amrfleet.Fleet, d *datadriven.TestData) string {
	t.Helper()
	is := is.New(t)
	cuts := cuts{}
	for _, arg := range d.CmdArgs {
		at, err := strconv.Atoi(strings.TrimPrefix(arg.Key, "at"))
		is.NoErr(err)
		cuts[at] = arg.Vals[0]
	}
	pauseEngines(fleet, cuts.after(0))
	before := outcomes(fleet)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fleet.Routers[0].CallersURL()+"/v1/completions", strings.NewReader(d.Input))
	is.NoErr(err)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer m-key")
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	var b strings.Builder
	var text string
	if response.StatusCode != http.StatusOK {
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		return render(response, body)
	}
	events := 0
	var broken []*amrfleet.Server
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found || data == "[DONE]" {
			continue
		}
		var event streamEvent
		is.NoErr(json.Unmarshal([]byte(data), &event))
		for _, choice := range event.Choices {
			text += choice.Text
		}
		if event.End != nil {
			fmt.Fprintf(&b, "end, digest %s\n", event.End.Digest)
		}
		if event.Error != nil {
			fmt.Fprintf(&b, "error %s, %s\n", event.Error.Code, event.Error.Ran)
		}
		events++
		if cuts[events] != "" {
			broken = append(broken, breakServer(t, fleet, cuts[events], broken, cuts.after(events)))
		}
	}
	return text + "\n" + b.String() + difference(outcomes(fleet), before)
}

// pauseEngines lets the engines go no further than the number of tokens.
func pauseEngines(fleet *amrfleet.Fleet, tokens int) {
	for _, s := range fleet.Servers {
		if s.Engine != nil {
			s.Engine.PauseAt(tokens)
		}
	}
}

// breakServer breaks the server that is running a request, which is none of
// those broken before, and lets the engines go on to the next pause.
func breakServer(t *testing.T, fleet *amrfleet.Fleet, how string, broken []*amrfleet.Server, pause int) *amrfleet.Server {
	t.Helper()
	is := is.New(t)
	s := runner(fleet, broken)
	if s == nil {
		t.Fatalf("no server runs the request at the event of %s", how)
	}
	switch how {
	case "crash-engine":
		s.Engine.CrashFor(time.Minute)
	case "kill-sidecar":
		s.Sidecar.Kill()
		is.NoErr(fleet.StartSidecar(s))
	case "drain-sidecar":
		pauseEngines(fleet, pause) // The sidecar stops when its requests have ended.
		is.NoErr(s.Sidecar.Stop())
		is.NoErr(fleet.StartSidecar(s))
	default:
		t.Fatalf("unknown cut %s", how)
	}
	pauseEngines(fleet, pause)
	return s
}

// runner returns the server that runs a request, or nil.
func runner(fleet *amrfleet.Fleet, broken []*amrfleet.Server) *amrfleet.Server {
	for _, s := range fleet.Servers {
		if s.Engine != nil && running(s.Engine) && !slices.Contains(broken, s) {
			return s
		}
	}
	return nil
}

func running(e *amrengine.Engine) bool {
	return slices.ContainsFunc(e.Log(), func(run amrengine.Run) bool { return run.Outcome == amrengine.OutcomeRunning })
}

// outcomes counts the runs of the engines by outcome.
func outcomes(fleet *amrfleet.Fleet) map[amrengine.Outcome]int {
	counts := map[amrengine.Outcome]int{}
	for _, s := range fleet.Servers {
		if s.Engine == nil {
			continue
		}
		for _, run := range s.Engine.Log() {
			counts[run.Outcome]++
		}
	}
	return counts
}

func difference(after, before map[amrengine.Outcome]int) string {
	for outcome, n := range before {
		after[outcome] -= n
		if after[outcome] == 0 {
			delete(after, outcome)
		}
	}
	return fmt.Sprintf("runs: %v\n", after)
}
