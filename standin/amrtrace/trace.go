// Package amrtrace reads, writes and generates traces of requests, and computes
// the hit rate of an ideal cache for them.
//
// A trace is a file of JSON lines with one request per line, in order of
// arrival.
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
	// malformed is the type of errors about the contents of a trace.
	malformed = namespace.NewType("malformed")
	// unknownWorkload is the type of the error for a workload that does not
	// exist.
	unknownWorkload = namespace.NewType("unknown-workload")
	// loadNotReached is the type of the error if no request rate gives the
	// requested load.
	loadNotReached = namespace.NewType("unsolved")
)

// Request is a request of a trace.
type Request struct {
	At            time.Duration // At is the arrival time, relative to the start of the trace.
	Team          string
	Model         string
	Prefix        []Level // Prefix holds the levels of the shared text, outermost first.
	SuffixTokens  int
	OutputTokens  int
	NonIdempotent bool   // NonIdempotent marks a request that must not run twice.
	Key           string // Key is the idempotency key.
	Line          int    // Line is the line number in the file, from 1.
}

// Level is one level of the nested text with which a prompt begins. Prompts of
// a team have the same text up to a level if the names and lengths of all
// levels up to it are equal.
type Level struct {
	Name   string `json:"name"`
	Tokens int    `json:"tokens"`
}

// PromptTokens returns the length of the prompt in tokens, including the
// prefix.
func (r Request) PromptTokens() int {
	tokens := r.SuffixTokens
	for _, l := range r.Prefix {
		tokens += l.Tokens
	}
	return tokens
}

// Keys returns the keys of the prompt's full blocks for the weights version.
func (r Request) Keys(weights string) []amrprompt.Key {
	scope := amrprompt.Scope{Team: r.Team, Deployment: r.Model, WeightsVersion: weights}
	return amrprompt.Keys(scope, r.Prompt())
}

// traceLine is the JSON encoding of a request.
type traceLine struct {
	AtMS          int64   `json:"at-ms"`
	Team          string  `json:"team"`
	Model         string  `json:"model"`
	Prefix        []Level `json:"prefix"`
	SuffixTokens  int     `json:"suffix-tokens"`
	OutputTokens  int     `json:"output-tokens"`
	NonIdempotent bool    `json:"once"`
	Key           string  `json:"key"`
}

// Read reads the requests of a trace. It returns an error that contains the
// line number if a line is not a valid request.
func Read(r io.Reader) ([]Request, error) {
	var requests []Request
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for lineNumber := 1; scanner.Scan(); lineNumber++ {
		var l traceLine
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil {
			return nil, malformed.Wrap(err, "line %d is not a valid request: correct or remove it", lineNumber)
		}
		request := l.request(lineNumber)
		if err := request.validate(requests); err != nil {
			return nil, err
		}
		requests = append(requests, request)
	}
	if err := scanner.Err(); err != nil {
		return nil, malformed.Wrap(err, "cannot read the trace: check the file")
	}
	return requests, nil
}

// Write writes the requests to w as a trace.
func Write(w io.Writer, requests []Request) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for _, r := range requests {
		l := traceLine{
			AtMS:          r.At.Milliseconds(),
			Team:          r.Team,
			Model:         r.Model,
			Prefix:        r.Prefix,
			SuffixTokens:  r.SuffixTokens,
			OutputTokens:  r.OutputTokens,
			NonIdempotent: r.NonIdempotent,
			Key:           r.Key,
		}
		if err := encoder.Encode(l); err != nil {
			return err
		}
	}
	return buffered.Flush()
}

func (l traceLine) request(lineNumber int) Request {
	return Request{
		At:            time.Duration(l.AtMS) * time.Millisecond,
		Team:          l.Team,
		Model:         l.Model,
		Prefix:        l.Prefix,
		SuffixTokens:  l.SuffixTokens,
		OutputTokens:  l.OutputTokens,
		NonIdempotent: l.NonIdempotent,
		Key:           l.Key,
		Line:          lineNumber,
	}
}

// validate checks the request, which follows the earlier requests of the trace.
func (r Request) validate(earlier []Request) error {
	switch {
	case r.Team == "" || r.Model == "":
		return malformed.New("line %d has no team or no model: name both", r.Line)
	case r.PromptTokens() <= 0 || r.OutputTokens <= 0 || r.SuffixTokens < 0:
		return malformed.New("line %d has an invalid number of prompt or output tokens: use positive numbers", r.Line)
	case r.NonIdempotent && r.Key == "":
		return malformed.New("line %d sets \"once\" but has no key: add an idempotency key", r.Line)
	case len(earlier) > 0 && r.At < earlier[len(earlier)-1].At:
		return malformed.New("line %d is earlier than the previous line: sort the trace by at-ms", r.Line)
	}
	for _, l := range r.Prefix {
		if l.Tokens < 0 {
			return malformed.New("line %d has a prefix with a negative number of tokens: use a positive number", r.Line)
		}
	}
	return nil
}
