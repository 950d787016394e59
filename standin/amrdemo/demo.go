// Package amrdemo demonstrates the whole path on a fleet of stand-ins: an
// answer, a cache hit, an explanation and a refusal.
package amrdemo

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrrecord"
	"amaranthreach.example/standin/amrfleet"
)

const (
	mandacaruKey   = "key-of-mandacaru"
	ledoslikKey    = "key-of-ledoslik"
	operatorKey    = "key-of-operators"
	mandacaru      = "mandacaru"
	ledoslik       = "ledoslik"
	catalogueBytes = 6 * amrprompt.BytesPerBlock
	answerTokens   = 12
	stepTimeout    = 20 * time.Second
)

// Demo runs the demonstration.
type Demo struct {
	out   io.Writer
	keep  bool
	fleet *amrfleet.Fleet
	first answer
}

// Option changes a demonstration.
type Option func(*Demo)

// WithKeep keeps the fleet serving after the last step until the context is
// done.
func WithKeep(keep bool) Option {
	return func(d *Demo) { d.keep = keep }
}

// New returns a demonstration that writes what it does to out.
func New(out io.Writer, options ...Option) *Demo {
	d := &Demo{out: out}
	for _, option := range options {
		option(d)
	}
	return d
}

// Run runs all steps. It returns an error that names the step that failed.
func (d *Demo) Run(ctx context.Context) (err error) {
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"apply records", d.applyRecords},
		{"streamed request", d.streamed},
		{"request that shares the prefix", d.shared},
		{"plain service", d.service},
		{"refusal", d.refusal},
	}
	d.fleet, err = amrfleet.Start(context.WithoutCancel(ctx), amrfleet.DefaultConfig)
	if err != nil {
		return fmt.Errorf("step start fleet: %w", err)
	}
	for _, step := range steps {
		d.printf("\n== %s\n", step.name)
		if err := d.step(ctx, step.run); err != nil {
			return errors.Join(fmt.Errorf("step %s: %w", step.name, err), d.fleet.Stop())
		}
	}
	if d.keep {
		d.serve(ctx)
	}
	d.printf("\n== graceful stop\n")
	if err := d.fleet.Stop(); err != nil {
		return fmt.Errorf("step graceful stop: %w", err)
	}
	d.printf("all processes stopped\n")
	return nil
}

func (d *Demo) step(ctx context.Context, run func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return run(ctx)
}

func (d *Demo) printf(format string, args ...any) {
	fmt.Fprintf(d.out, format, args...)
}

func (d *Demo) applyRecords(ctx context.Context) error {
	records := append(d.fleet.Records(),
		record(mandacaru, amrrecord.Team{KeySHA256: []string{digest(mandacaruKey)}, Weight: 1}),
		record(ledoslik, amrrecord.Team{KeySHA256: []string{digest(ledoslikKey)}, Weight: 1}),
		record("operators", amrrecord.Team{KeySHA256: []string{digest(operatorKey)}, Operator: true, Weight: 1}),
		record("balanced", amrrecord.RoutingPolicy{Policy: amrrecord.PolicyCacheAware, RecomputeWeight: 1, WaitWeight: 1, MaxAttempts: 3, Deadline: time.Minute, MaxQueueWait: 30 * time.Second}),
		record(amrfleet.ModelDeployment, amrrecord.Deployment{
			Type:          amrrecord.TypeModel,
			Model:         amrfleet.ModelDeployment,
			Versions:      []amrrecord.Version{{Weights: amrfleet.Weights, Share: 100}},
			RoutingPolicy: "balanced",
			Teams:         []string{mandacaru},
		}),
		record(amrfleet.ServiceDeployment, amrrecord.Deployment{
			Type:          amrrecord.TypeService,
			RoutingPolicy: "balanced",
			NonIdempotent: []string{"/confirmations"},
		}),
	)
	if err := d.fleet.Apply(ctx, records...); err != nil {
		return err
	}
	d.printf("%d records in force at %d routers, revision %d\n", len(records), len(d.fleet.Routers), d.fleet.Routers[0].Router.Revision())
	return nil
}

func (d *Demo) streamed(ctx context.Context) error {
	answer, err := d.complete(ctx, 0, catalogue()+"How many diaries are left?")
	if err != nil {
		return err
	}
	d.first = answer
	d.printf("answer: %s\n%d events, end event %t, %d of %d prompt tokens from the cache\n", answer.text, answer.events, answer.ended, answer.cached, answer.prompt)
	if !answer.ended || answer.events < answerTokens {
		return fmt.Errorf("the stream is not complete")
	}
	return d.explain(ctx, answer.id)
}

func (d *Demo) shared(ctx context.Context) error {
	answer, err := d.complete(ctx, 1, catalogue()+"Which agendas are new this season?")
	if err != nil {
		return err
	}
	d.printf("answer: %s\n%d of %d prompt tokens from the cache\n", answer.text, answer.cached, answer.prompt)
	if answer.cached < catalogueBytes/amrprompt.BytesPerToken {
		return fmt.Errorf("only %d tokens came from the cache", answer.cached)
	}
	return d.explain(ctx, answer.id)
}

func (d *Demo) service(ctx context.Context) error {
	url := d.fleet.Routers[0].CallersURL() + "/v1/services/" + amrfleet.ServiceDeployment + "/stock"
	response, err := d.post(ctx, url, mandacaruKey, []byte(`{"item":"agenda"}`))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	d.printf("status %d: %s\n", response.StatusCode, bytes.TrimSpace(data))
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

func (d *Demo) refusal(ctx context.Context) error {
	body := completionBody{Model: amrfleet.ModelDeployment, Prompt: "Is the lake safe?", MaxTokens: answerTokens}
	response, err := d.post(ctx, d.fleet.Routers[0].CallersURL()+"/v1/completions", ledoslikKey, marshal(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var refused refusalBody
	if err := json.NewDecoder(response.Body).Decode(&refused); err != nil {
		return err
	}
	d.printf("status %d: %s (%s, %s)\nremedy: %s\n", response.StatusCode, refused.Error.Message, refused.Error.Code, refused.Error.Ran, refused.Error.Remedy)
	if refused.Error.Code != string(amrreason.Forbidden) || refused.Error.Ran != string(amrreason.NotRun) {
		return fmt.Errorf("the refusal has reason %q and ran %q", refused.Error.Code, refused.Error.Ran)
	}
	for _, server := range d.fleet.Servers {
		if server.Engine == nil {
			continue
		}
		for _, run := range server.Engine.Runs() {
			if run.RequestID == refused.Error.RequestID {
				return fmt.Errorf("the refused request ran at %s", server.Name)
			}
		}
	}
	return d.explain(ctx, refused.Error.RequestID)
}

func (d *Demo) explain(ctx context.Context, id string) error {
	name, _, _ := strings.Cut(id, ".")
	for _, router := range d.fleet.Routers {
		if router.Name() != name {
			continue
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, router.OperatorsURL()+"/v1/explain/"+id, nil)
		if err != nil {
			return err
		}
		request.Header.Set("Authorization", "Bearer "+operatorKey)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		return d.printExplanation(response)
	}
	return fmt.Errorf("no router %s", name)
}

func (d *Demo) printExplanation(response *http.Response) error {
	var e explanation
	if err := json.NewDecoder(response.Body).Decode(&e); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || e.Summary == "" {
		return fmt.Errorf("explain answered with status %d", response.StatusCode)
	}
	d.printf("explain %s: %s\n", e.RequestID, e.Summary)
	for _, c := range e.Candidates {
		d.printf("  candidate %s, cost %s\n", c.BackendServer, c.Cost)
	}
	for _, a := range e.Attempts {
		d.printf("  attempt at %s: %s\n", a.BackendServer, a.Result)
	}
	return nil
}

// serve keeps the fleet until ctx is done.
func (d *Demo) serve(ctx context.Context) {
	d.printf("\n== serving until interrupted\ncurl -N %s/v1/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"model\":\"%s\",\"prompt\":\"Is the agenda in stock?\",\"max_tokens\":8,\"stream\":true}'\n",
		d.fleet.Routers[0].CallersURL(), mandacaruKey, amrfleet.ModelDeployment)
	<-ctx.Done()
}

// answer is what a caller got.
type answer struct {
	id     string
	text   string
	events int
	ended  bool
	cached int
	prompt int
}

func (d *Demo) complete(ctx context.Context, router int, prompt string) (answer, error) {
	body := completionBody{Model: amrfleet.ModelDeployment, Prompt: prompt, MaxTokens: answerTokens, Stream: true}
	response, err := d.post(ctx, d.fleet.Routers[router].CallersURL()+"/v1/completions", mandacaruKey, marshal(body))
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(response.Body)
		return answer{}, fmt.Errorf("status %d: %s", response.StatusCode, data)
	}
	a := answer{id: response.Header.Get("X-Request-Id")}
	return a, a.read(response.Body)
}

func (a *answer) read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.ended = true
			continue
		}
		var event completionEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return err
		}
		if event.Error != nil {
			return fmt.Errorf("error event: %s", event.Error.Message)
		}
		a.events++
		for _, choice := range event.Choices {
			a.text += choice.Text
		}
		if event.Usage != nil {
			a.prompt = event.Usage.PromptTokens
			a.cached = event.Usage.PromptTokensDetails.CachedTokens
		}
	}
	return scanner.Err()
}

func (d *Demo) post(ctx context.Context, url, key string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	return http.DefaultClient.Do(request)
}

func record(name string, spec amrrecord.Spec) amrrecord.Record {
	return amrrecord.Record{Name: name, Spec: spec}
}

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// catalogue returns a long prompt that several requests share.
func catalogue() string {
	var b strings.Builder
	for i := 0; b.Len() < catalogueBytes; i++ {
		fmt.Fprintf(&b, "Item %d: agenda, ruled, 160 pages, in boxes of %d.\n", i, i%7+6)
	}
	return b.String()
}
