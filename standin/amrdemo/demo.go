// Package amrdemo demonstrates the system with a fleet of simulated backend servers
// in one process: a streamed completion, a cache hit, a request to a plain service,
// a refusal and the explanations of these requests.
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
	mandacaruKey = "key-of-mandacaru"
	ledoslikKey  = "key-of-ledoslik"
	operatorKey  = "key-of-operators"
	mandacaru    = "mandacaru"
	ledoslik     = "ledoslik"
	sharedBytes  = 6 * amrprompt.BytesPerBlock // Minimum length of the shared prefix of prompts.
	maxTokens    = 12                          // Number of tokens of a completion.
	stepTimeout  = 20 * time.Second
)

// Demo is a demonstration. Create it with New.
type Demo struct {
	out   io.Writer
	keep  bool // See WithKeep.
	fleet *amrfleet.Fleet
	first completion // Response to the first request.
}

// Option configures a Demo.
type Option func(*Demo)

// WithKeep sets whether the fleet keeps serving after the last step until the
// context is done, so that a user can send requests to it. The default is false.
func WithKeep(keep bool) Option {
	return func(d *Demo) { d.keep = keep }
}

// New returns a demonstration that writes its steps and their results to out.
func New(out io.Writer, options ...Option) *Demo {
	d := &Demo{out: out}
	for _, option := range options {
		option(d)
	}
	return d
}

// Run starts a fleet, runs all steps and stops the fleet. The error contains the name
// of the step that failed.
func (d *Demo) Run(ctx context.Context) (err error) {
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"apply records", d.applyRecords},
		{"streamed request", d.sendStreamed},
		{"request that shares the prefix", d.sendShared},
		{"plain service", d.sendToService},
		{"refusal", d.sendForbidden},
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

// step runs a step with a timeout.
func (d *Demo) step(ctx context.Context, run func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return run(ctx)
}

func (d *Demo) printf(format string, args ...any) {
	fmt.Fprintf(d.out, format, args...)
}

// applyRecords applies the records of three teams, one of them of operators, a
// routing policy and two deployments. It returns when all routers use them.
func (d *Demo) applyRecords(ctx context.Context) error {
	records := append(d.fleet.Records(),
		record(mandacaru, amrrecord.Team{KeySHA256: []string{digest(mandacaruKey)}, Weight: 1}),
		record(ledoslik, amrrecord.Team{KeySHA256: []string{digest(ledoslikKey)}, Weight: 1}),
		record("operators", amrrecord.Team{KeySHA256: []string{digest(operatorKey)}, Operator: true, Weight: 1}),
		record("balanced", amrrecord.RoutingPolicy{Policy: amrrecord.PolicyCacheAware, RecomputeWeight: 1, WaitWeight: 1, MaxAttempts: 3, Deadline: time.Minute, MaxQueueWait: 30 * time.Second}),
		record(amrfleet.ModelDeployment, amrrecord.Deployment{
			Type:          amrrecord.TypeModel,
			Model:         amrfleet.ModelDeployment,
			Versions:      []amrrecord.Version{{Weights: amrfleet.InitialWeights, Share: 100}},
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

// sendStreamed sends a streamed completion request to the first router and checks
// that the response is complete.
func (d *Demo) sendStreamed(ctx context.Context) error {
	c, err := d.complete(ctx, 0, sharedPrefix()+"How many diaries are left?")
	if err != nil {
		return err
	}
	d.first = c
	d.printf("answer: %s\n%d events, end event received: %t, %d of %d prompt tokens from the cache\n", c.text, c.events, c.done, c.cachedTokens, c.promptTokens)
	if !c.done || c.events < maxTokens {
		return fmt.Errorf("the stream ended early or without its end event")
	}
	return d.explain(ctx, c.id)
}

// sendShared sends a request with the same prefix to the second router and checks
// that the engine had the prefix in its cache.
func (d *Demo) sendShared(ctx context.Context) error {
	c, err := d.complete(ctx, 1, sharedPrefix()+"Which agendas are new this season?")
	if err != nil {
		return err
	}
	d.printf("answer: %s\n%d of %d prompt tokens from the cache\n", c.text, c.cachedTokens, c.promptTokens)
	if c.cachedTokens < sharedBytes/amrprompt.BytesPerToken {
		return fmt.Errorf("only %d prompt tokens came from the cache, fewer than the shared prefix has", c.cachedTokens)
	}
	return d.explain(ctx, c.id)
}

// sendToService sends a request to the plain service.
func (d *Demo) sendToService(ctx context.Context) error {
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
		return fmt.Errorf("the plain service responded with status %d", response.StatusCode)
	}
	return nil
}

// sendForbidden sends a request of a team that may not use the deployment. It checks
// that the router refuses the request and that no engine ran it.
func (d *Demo) sendForbidden(ctx context.Context) error {
	body := completionBody{Model: amrfleet.ModelDeployment, Prompt: "Is the lake safe?", MaxTokens: maxTokens}
	response, err := d.post(ctx, d.fleet.Routers[0].CallersURL()+"/v1/completions", ledoslikKey, marshal(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var refused refusalBody
	if err := json.NewDecoder(response.Body).Decode(&refused); err != nil {
		return err
	}
	d.printf("status %d: %s (code: %s, ran: %s)\nremedy: %s\n", response.StatusCode, refused.Error.Message, refused.Error.Code, refused.Error.Ran, refused.Error.Remedy)
	if refused.Error.Code != string(amrreason.Forbidden) || refused.Error.Ran != string(amrreason.NotRun) {
		return fmt.Errorf("unexpected refusal: code %q, ran %q", refused.Error.Code, refused.Error.Ran)
	}
	for _, server := range d.fleet.Servers {
		if server.Engine == nil {
			continue
		}
		for _, run := range server.Engine.Runs() {
			if run.RequestID == refused.Error.RequestID {
				return fmt.Errorf("the refused request ran on engine %s", server.Name)
			}
		}
	}
	return d.explain(ctx, refused.Error.RequestID)
}

// explain prints the explanation of the request with the id, from the router that
// handled it. The id starts with the router's name and a dot.
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
	return fmt.Errorf("no router is named %q", name)
}

// printExplanation decodes and prints the response to a request for an explanation.
func (d *Demo) printExplanation(response *http.Response) error {
	var e explanation
	if err := json.NewDecoder(response.Body).Decode(&e); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || e.Summary == "" {
		return fmt.Errorf("the explanation is missing or has no summary: status %d", response.StatusCode)
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

// serve prints an example of a request and waits until ctx is done.
func (d *Demo) serve(ctx context.Context) {
	d.printf("\n== serving until interrupted\ncurl -N %s/v1/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"model\":\"%s\",\"prompt\":\"Is the agenda in stock?\",\"max_tokens\":8,\"stream\":true}'\n",
		d.fleet.Routers[0].CallersURL(), mandacaruKey, amrfleet.ModelDeployment)
	<-ctx.Done()
}

// completion is the response to a streamed completion request.
type completion struct {
	id           string // Id of the request.
	text         string
	events       int  // Number of events, without the end event.
	done         bool // The end event was received.
	cachedTokens int  // Number of prompt tokens that were in the engine's cache.
	promptTokens int
}

// complete sends a streamed completion request to the router with the index and
// reads the response.
func (d *Demo) complete(ctx context.Context, router int, prompt string) (completion, error) {
	body := completionBody{Model: amrfleet.ModelDeployment, Prompt: prompt, MaxTokens: maxTokens, Stream: true}
	response, err := d.post(ctx, d.fleet.Routers[router].CallersURL()+"/v1/completions", mandacaruKey, marshal(body))
	if err != nil {
		return completion{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(response.Body)
		return completion{}, fmt.Errorf("completion request failed with status %d: %s", response.StatusCode, data)
	}
	c := completion{id: response.Header.Get("X-Request-Id")}
	return c, c.read(response.Body)
}

// read reads the events of a stream up to its end.
func (c *completion) read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			c.done = true
			continue
		}
		var event completionEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return err
		}
		if event.Error != nil {
			return fmt.Errorf("the stream ended with an error event: %s", event.Error.Message)
		}
		c.events++
		for _, choice := range event.Choices {
			c.text += choice.Text
		}
		if event.Usage != nil {
			c.promptTokens = event.Usage.PromptTokens
			c.cachedTokens = event.Usage.PromptTokensDetails.CachedTokens
		}
	}
	return scanner.Err()
}

// post sends a JSON body with the API key.
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

// digest returns the SHA-256 hash of the key in hex, as in the record of a team.
func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// sharedPrefix returns a prefix for prompts with a length of at least sharedBytes.
func sharedPrefix() string {
	var b strings.Builder
	for i := 0; b.Len() < sharedBytes; i++ {
		fmt.Fprintf(&b, "Item %d: agenda, ruled, 160 pages, in boxes of %d.\n", i, i%7+6)
	}
	return b.String()
}
