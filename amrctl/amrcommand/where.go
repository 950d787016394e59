package amrcommand

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"amaranthreach.example/core/amrpreview"
)

// whereFlags holds the values of the flags that describe the request.
type whereFlags struct {
	host, path string
	keyFile    string // File with the key of the caller.
	id         string
	model      string
	prefix     string // "ID:TOKENS,...".
	tokens     string // "PROMPT,OUTPUT".
	deadline   time.Duration
	all        bool // All candidates are shown.
}

func whereCommand(o *options) *cobra.Command {
	f := &whereFlags{}
	cmd := &cobra.Command{
		Use:   "where",
		Short: "Show where a request would be sent now, and why, without sending it",
		Long: "where asks a router that sends requests to backend servers directly (amr-direct) for\n" +
			"the server that a request would get now, or why it would be refused. --server is\n" +
			"the URL of the metrics address of the router. The router sends and records nothing.",
		Args: checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			query, err := f.query()
			if err != nil {
				return usageError{err}
			}
			server, err := o.address("metrics", "http://10.0.0.1:9102")
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
			defer cancel()
			answer, err := amrpreview.Ask(ctx, &http.Client{}, server.String(), query)
			if err != nil {
				return askError(err)
			}
			return o.print(answer, whereTable(answer, f.all))
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&f.host, "route-host", "", "host name in the request")
	flags.StringVar(&f.path, "path", "/", "path of the request")
	flags.StringVar(&f.keyFile, "key-file", "", "file with the key of the caller, not of an operator; without it, the request has no key")
	flags.StringVar(&f.id, "id", "", "ID of the request, which decides between the pools of a route")
	flags.StringVar(&f.model, "model", "", "model of the request")
	flags.StringVar(&f.prefix, "prefix", "", "parts of the prompt as ID:TOKENS,...; the last one belongs to this request alone")
	flags.StringVar(&f.tokens, "tokens", "", "prompt tokens and maximum number of output tokens as PROMPT,OUTPUT")
	flags.DurationVar(&f.deadline, "deadline", 0, "time for which the caller waits; 0 if it is unknown")
	flags.BoolVar(&f.all, "all", false, "show all candidates in the table, not only the first ones")
	return cmd
}

// query returns the query that the flags describe.
func (f *whereFlags) query() (amrpreview.Query, error) {
	if f.host == "" {
		return amrpreview.Query{}, errors.New("no host name given; set --route-host")
	}
	q := amrpreview.Query{Host: f.host, Path: f.path, ID: f.id, Model: f.model, DeadlineMS: f.deadline.Milliseconds()}
	if f.keyFile != "" {
		key, err := os.ReadFile(f.keyFile)
		if err != nil {
			return amrpreview.Query{}, err
		}
		q.Key = strings.TrimSpace(string(key))
	}
	var err error
	if q.Parts, err = parsePrefix(f.prefix); err != nil {
		return amrpreview.Query{}, err
	}
	if f.tokens != "" {
		prompt, output, _ := strings.Cut(f.tokens, ",")
		if q.PromptTokens, err = parseTokens(prompt); err != nil {
			return amrpreview.Query{}, err
		}
		if q.OutputTokens, err = parseTokens(output); err != nil {
			return amrpreview.Query{}, err
		}
	}
	return q, nil
}

// parsePrefix parses "ID:TOKENS,...".
func parsePrefix(text string) ([]amrpreview.Part, error) {
	if text == "" {
		return nil, nil
	}
	var parts []amrpreview.Part
	for entry := range strings.SplitSeq(text, ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(entry), ":")
		if !ok {
			return nil, fmt.Errorf("%q is not a part of a prompt; write ID:TOKENS", entry)
		}
		n, err := parseTokens(tokens)
		if err != nil {
			return nil, err
		}
		parts = append(parts, amrpreview.Part{ID: id, Tokens: n})
	}
	return parts, nil
}

// parseTokens parses a number of tokens.
func parseTokens(text string) (int, error) {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0, fmt.Errorf("%q is not a number of tokens", text)
	}
	return n, nil
}

// unansweredError is the error of a question that got no answer.
type unansweredError struct {
	error
}

// askError returns the error of a question to a router, without the method and the URL that
// package net/http puts before it.
func askError(err error) error {
	var unanswered *url.Error
	if errors.As(err, &unanswered) {
		return unansweredError{fmt.Errorf("no answer: %w", unanswered.Err)}
	}
	return err
}
