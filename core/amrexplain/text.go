package amrexplain

import (
	"fmt"
	"strings"
	"time"

	"amaranthreach.example/core/amrreason"
)

// Summary describes in plain words what happened to the request, for the person who
// sent it.
func (d Decision) Summary() string {
	switch d.Outcome {
	case Answered:
		return d.answeredSummary()
	case Refused:
		return d.refusedSummary()
	default:
		return "The request is still being worked on."
	}
}

// answeredSummary returns the summary of a request that was answered.
func (d Decision) answeredSummary() string {
	var b strings.Builder
	fmt.Fprintf(&b, "The request was answered completely, %s after it came.", roundDuration(d.Elapsed))
	if d.PromptTokens > 0 {
		fmt.Fprintf(&b, " %s of its text was ready from earlier work.", percentage(d.CachedTokens, d.PromptTokens))
	}
	if n := d.failedAttempts(); n > 0 {
		fmt.Fprintf(&b, " Before that it was tried on %s.", failedServersText(n))
	}
	return b.String()
}

// refusedSummary returns the summary of a request that was refused, with its reason,
// whether it ran, and what the caller can do.
func (d Decision) refusedSummary() string {
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
		fmt.Fprintf(&b, " It was tried on %s.", failedServersText(n))
	}
	fmt.Fprintf(&b, " What to do: %s", reason.Remedy)
	if d.RetryAfter > 0 {
		fmt.Fprintf(&b, " It is worth trying again after %s.", roundDuration(d.RetryAfter))
	}
	return b.String()
}

// Text returns the summary and, below it, the details of the decision, one per line.
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
			c.BackendServer, roundDuration(c.Cost), roundDuration(c.Wait), c.CachedTokens)
	}
	for i, a := range d.Attempts {
		line(fmt.Sprintf("attempt %d", i+1), "%s after %s: %s", a.BackendServer, roundDuration(a.After), a.resultText())
	}
	return b.String()
}

// resultText returns the result of the attempt and, if it has one, the reason.
func (a Attempt) resultText() string {
	if a.Reason == "" {
		return string(a.Result)
	}
	return fmt.Sprintf("%s, %s (%s)", a.Result, a.Reason, a.Ran)
}

// failedAttempts returns the number of attempts that were declined or failed.
func (d Decision) failedAttempts() int {
	n := 0
	for _, a := range d.Attempts {
		if a.Result == AttemptDeclined || a.Result == AttemptFailed {
			n++
		}
	}
	return n
}

// failedServersText describes n backend servers that could not take or finish the request.
func failedServersText(n int) string {
	if n == 1 {
		return "one server that could not take or finish it"
	}
	return fmt.Sprintf("%d servers that could not take or finish it", n)
}

// percentage returns part as a percentage of whole, rounded down.
func percentage(part, whole uint32) string {
	switch percent := 100 * uint64(part) / uint64(whole); {
	case part == 0:
		return "None"
	case percent < 1:
		return "Less than 1%"
	default:
		return fmt.Sprintf("%d%%", percent)
	}
}

// roundDuration rounds a duration to a precision that is useful to a reader.
func roundDuration(d time.Duration) time.Duration {
	if d >= time.Second {
		return d.Round(10 * time.Millisecond)
	}
	return d.Round(100 * time.Microsecond)
}
