package amrexplain

import (
	"fmt"
	"strings"
	"time"

	"amaranthreach.example/core/amrreason"
)

// Summary tells in plain words what happened, for the person who asked.
func (d Decision) Summary() string {
	switch d.Outcome {
	case Answered:
		return d.answered()
	case Refused:
		return d.refused()
	default:
		return "The request is still being worked on."
	}
}

func (d Decision) answered() string {
	var b strings.Builder
	fmt.Fprintf(&b, "The request was answered completely, %s after it came.", round(d.Took))
	if d.PromptTokens > 0 {
		fmt.Fprintf(&b, " %s of its text was ready from earlier work.", share(d.CachedTokens, d.PromptTokens))
	}
	if n := d.failedAttempts(); n > 0 {
		fmt.Fprintf(&b, " Before that it was tried on %s.", servers(n))
	}
	return b.String()
}

func (d Decision) refused() string {
	var b strings.Builder
	reason := amrreason.Lookup(d.Reason)
	fmt.Fprintf(&b, "The request was refused. %s", reason.Message)
	switch d.Ran {
	case amrreason.NotRun:
		b.WriteString(" It was not run, so nothing has been done because of it.")
	case amrreason.DidRun:
		b.WriteString(" It had been run, at least in part, before that.")
	case amrreason.RunUnknown:
		if d.Reason != amrreason.OutcomeUnknown {
			b.WriteString(" Whether it was run can't be told.")
		}
	}
	if n := d.failedAttempts(); n > 0 {
		fmt.Fprintf(&b, " It was tried on %s.", servers(n))
	}
	fmt.Fprintf(&b, " What to do: %s", reason.Remedy)
	if d.RetryAfter > 0 {
		fmt.Fprintf(&b, " It is worth trying again after %s.", round(d.RetryAfter))
	}
	return b.String()
}

// Text returns the summary and, below it, what the decision was made from.
func (d Decision) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n\n", d.Summary())
	line := func(name, format string, args ...any) {
		fmt.Fprintf(&b, "%-14s %s\n", name+":", fmt.Sprintf(format, args...))
	}
	line("request", "%s", d.RequestID)
	line("came", "%s", d.At.UTC().Format(time.RFC3339))
	line("team", "%s", d.Team)
	line("deployment", "%s", d.Deployment)
	line("revision", "%d", d.Revision)
	if d.Policy != "" {
		line("policy", "%s", d.Policy)
	}
	if d.Reason != "" {
		line("reason", "%s (%s)", d.Reason, d.Ran)
	}
	if d.Detail != "" {
		line("detail", "%s", d.Detail)
	}
	line("tokens", "%d in the prompt, %d of them cached, %d in the answer", d.PromptTokens, d.CachedTokens, d.CompletionTokens)
	for i, c := range d.Candidates {
		line(fmt.Sprintf("candidate %d", i+1), "%s at a cost of %s, %s of it waiting, with %d tokens cached",
			c.BackendServer, round(c.Cost), round(c.Wait), c.CachedTokens)
	}
	for i, a := range d.Attempts {
		line(fmt.Sprintf("attempt %d", i+1), "%s after %s: %s", a.BackendServer, round(a.After), a.ending())
	}
	return b.String()
}

func (a Attempt) ending() string {
	if a.Reason == "" {
		return string(a.Result)
	}
	return fmt.Sprintf("%s, %s (%s)", a.Result, a.Reason, a.Ran)
}

// failedAttempts returns the number of attempts that gave no whole answer.
func (d Decision) failedAttempts() int {
	n := 0
	for _, a := range d.Attempts {
		if a.Result == AttemptDeclined || a.Result == AttemptFailed {
			n++
		}
	}
	return n
}

func servers(n int) string {
	if n == 1 {
		return "one server that could not take or finish it"
	}
	return fmt.Sprintf("%d servers that could not take or finish it", n)
}

func share(part, whole uint32) string {
	switch percent := 100 * uint64(part) / uint64(whole); {
	case part == 0:
		return "None"
	case percent < 1:
		return "Less than 1%"
	default:
		return fmt.Sprintf("%d%%", percent)
	}
}

func round(d time.Duration) time.Duration {
	if d >= time.Second {
		return d.Round(10 * time.Millisecond)
	}
	return d.Round(100 * time.Microsecond)
}
