// Package amrtrace reads, writes and makes traces of requests, and tells what
// hit rate an ideal cache would reach on them.
//
// A trace is a file of JSON lines, one request a line, in order of arrival.
package amrtrace

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amrprompt"
)

const maxLineBytes = 1 << 20

var (
	namespace = errorx.NewNamespace("trace")
	malformed = namespace.NewType("malformed")
	unknown   = namespace.NewType("unknown-workload")
	unsolved  = namespace.NewType("unsolved")
)

// Request is one request of a trace.
type Request struct {
	At           time.Duration // Since the start of the trace.
	Team         string
	Model        string
	Prefix       []Level // Outermost first.
	SuffixTokens int
	OutputTokens int
	Once         bool   // The request must not run twice.
	Key          string // Idempotency key.
	Line         int    // In the file, from 1.
}

// Level is one level of nested shared text. Equal names nested alike are equal
// text for a team.
type Level struct {
	Name   string `json:"name"`
	Tokens int    `json:"tokens"`
}

// PromptTokens returns the length of the prompt in tokens.
func (r Request) PromptTokens() int {
	tokens := r.SuffixTokens
	for _, l := range r.Prefix {
		tokens += l.Tokens
	}
	return tokens
}

// Keys returns the keys of the prompt's blocks under the weights version.
func (r Request) Keys(weights string) []amrprompt.Key {
	scope := amrprompt.Scope{Team: r.Team, Deployment: r.Model, WeightsVersion: weights}
	return amrprompt.Keys(scope, r.Prompt())
}

type line struct {
	AtMS         int64   `json:"at-ms"`
	Team         string  `json:"team"`
	Model        string  `json:"model"`
	Prefix       []Level `json:"prefix"`
	SuffixTokens int     `json:"suffix-tokens"`
	OutputTokens int     `json:"output-tokens"`
	Once         bool    `json:"once"`
	Key          string  `json:"key"`
}

// Read returns the requests of a trace. An error names the line at fault.
func Read(r io.Reader) ([]Request, error) {
	var requests []Request
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		var l line
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil {
			return nil, malformed.Wrap(err, "line %d is not a request: correct or remove it", number)
		}
		request := l.request(number)
		if err := request.validate(requests); err != nil {
			return nil, err
		}
		requests = append(requests, request)
	}
	if err := scanner.Err(); err != nil {
		return nil, malformed.Wrap(err, "the trace cannot be read: check the file")
	}
	return requests, nil
}

// Write writes the requests as a trace.
func Write(w io.Writer, requests []Request) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for _, r := range requests {
		l := line{
			AtMS:         r.At.Milliseconds(),
			Team:         r.Team,
			Model:        r.Model,
			Prefix:       r.Prefix,
			SuffixTokens: r.SuffixTokens,
			OutputTokens: r.OutputTokens,
			Once:         r.Once,
			Key:          r.Key,
		}
		if err := encoder.Encode(l); err != nil {
			return err
		}
	}
	return buffered.Flush()
}

func (l line) request(number int) Request {
	return Request{
		At:           time.Duration(l.AtMS) * time.Millisecond,
		Team:         l.Team,
		Model:        l.Model,
		Prefix:       l.Prefix,
		SuffixTokens: l.SuffixTokens,
		OutputTokens: l.OutputTokens,
		Once:         l.Once,
		Key:          l.Key,
		Line:         number,
	}
}

func (r Request) validate(earlier []Request) error {
	switch {
	case r.Team == "" || r.Model == "":
		return malformed.New("line %d names no team or no model: add it", r.Line)
	case r.PromptTokens() <= 0 || r.OutputTokens <= 0 || r.SuffixTokens < 0:
		return malformed.New("line %d has no prompt or no output: give positive counts of tokens", r.Line)
	case r.Once && r.Key == "":
		return malformed.New("line %d runs once but has no key: add an idempotency key", r.Line)
	case len(earlier) > 0 && r.At < earlier[len(earlier)-1].At:
		return malformed.New("line %d is earlier than the line before: sort the trace by at-ms", r.Line)
	}
	for _, l := range r.Prefix {
		if l.Tokens < 0 {
			return malformed.New("line %d has a prefix of negative length: give a positive count of tokens", r.Line)
		}
	}
	return nil
}
