package amrcommand

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"amaranthreach.example/core/amrpreview"
)

// shownCandidates is the number of candidates of a group in a table without --all.
const shownCandidates = 8

// whereTable returns the function that writes the answer as text.
func whereTable(a amrpreview.Answer, all bool) func(io.Writer) {
	return func(w io.Writer) {
		writeOutcome(w, a)
		writeFacts(w, a)
		for _, g := range a.Groups {
			writeGroup(w, g, all)
		}
	}
}

// writeOutcome writes where the request would be sent, or how it would be refused.
func writeOutcome(w io.Writer, a amrpreview.Answer) {
	if r := a.Refusal; r != nil {
		fmt.Fprintf(w, "The request would be refused: %s (status %d)", r.Code, r.Status)
		if r.RetryAfterMS > 0 {
			fmt.Fprintf(w, ", to come back after %g ms", r.RetryAfterMS)
		}
		fmt.Fprintln(w)
		if r.Detail != "" {
			fmt.Fprintf(w, "Reason: %s\n", r.Detail)
		}
	} else {
		fmt.Fprintf(w, "The request would be sent to %s.\n", a.Server)
	}
	if a.Waits != "" {
		fmt.Fprintf(w, "Before that, it would wait for a moment: %s\n", a.Waits)
	}
	if !a.Certain {
		fmt.Fprintln(w, "Another router decides, which may know more. Ask it for the decision; below is what this one knows.")
	}
	fmt.Fprintln(w)
}

// writeFacts writes what is known of the request.
func writeFacts(w io.Writer, a amrpreview.Answer) {
	fmt.Fprintf(w, "router\t%s\n", a.Router)
	fmt.Fprintf(w, "route\t%s\n", orNone(a.Route))
	fmt.Fprintf(w, "team\t%s\n", orNone(a.Team))
	if a.Pool == "" {
		return
	}
	fmt.Fprintf(w, "pool\t%s\n", a.Pool)
	fmt.Fprintf(w, "priority\t%d\n", a.Priority)
	q := a.Quota
	if q == nil {
		fmt.Fprintf(w, "quota\tnone\n")
		return
	}
	fmt.Fprintf(w, "quota\t%s; the request counts %g %s, this router has fetched %g\n", q.Decision, q.Weight, q.Unit, q.Credit)
	if q.Coordinator != "" {
		fmt.Fprintf(w, "quota coordinator\t%s\n", q.Coordinator)
	}
}

// orNone returns the text, or "none" if it is empty.
func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// writeGroup writes the selection in a group.
func writeGroup(w io.Writer, g amrpreview.Group, all bool) {
	decides := "this router"
	if g.Coordinator != "" {
		decides = g.Coordinator
	}
	name := "all servers of the pool"
	if g.Count > 0 {
		name = fmt.Sprintf("placement group %d of %d", g.Index+1, g.Count)
	}
	fmt.Fprintf(w, "\n%s, decided by %s: ", name, decides)
	if g.Denial != "" {
		fmt.Fprintf(w, "none (%s)\n", g.Denial)
	} else {
		fmt.Fprintf(w, "%s, cost %g ms\n", g.Server, g.CostMS)
	}
	if g.FetchFrom != "" {
		fmt.Fprintf(w, "parts of the prompt would be fetched from %s\n", g.FetchFrom)
	}
	fmt.Fprintln(w, "SERVER\tZONE\tSTANDING\tIN FLIGHT\tCOST\tOF THAT\tCACHED\tREADS\tPENDING\tADMISSION")
	shown := g.Candidates
	if !all && len(shown) > shownCandidates {
		shown = slices.Clone(shown[:shownCandidates])
		if i := slices.IndexFunc(g.Candidates, func(c amrpreview.Candidate) bool { return c.Selected }); i >= shownCandidates {
			shown = append(shown, g.Candidates[i])
		}
	}
	for _, c := range shown {
		writeCandidate(w, c)
	}
	if rest := len(g.Candidates) - len(shown); rest > 0 {
		fmt.Fprintf(w, "and %d more; --all shows them\n", rest)
	}
}

// writeCandidate writes a server as a row of the table.
func writeCandidate(w io.Writer, c amrpreview.Candidate) {
	name := c.Server
	if c.Selected {
		name = "* " + name
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%.1f", name, c.Zone, c.Standing, c.InFlight)
	if c.Cost == nil {
		fmt.Fprintln(w, "\t-\t-\t-\t-\t-\t-")
		return
	}
	fmt.Fprintf(w, "\t%.1f ms\t%s\t%d\t%.0f\t%d\t%s\n",
		c.Cost.TotalMS, costText(*c.Cost), c.Cost.CachedTokens, c.Cost.PrefillTokens, c.Cost.PendingTokens, admissionText(c))
}

// costText returns the parts of the cost that are not 0.
func costText(c amrpreview.Cost) string {
	var parts []string
	for _, p := range []struct {
		name string
		ms   float64
	}{
		{"prompt", c.PromptMS}, {"progress", -c.ProgressMS}, {"requests", c.RequestsMS}, {"memory", c.MemoryMS},
		{"room", c.RoomMS}, {"zone", c.ZoneMS}, {"weights", c.WeightsMS}, {"faults", c.FaultsMS},
	} {
		if p.ms != 0 {
			parts = append(parts, fmt.Sprintf("%s %.1f", p.name, p.ms))
		}
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

// admissionText returns the admission at the server.
func admissionText(c amrpreview.Candidate) string {
	switch a := c.Admitted; {
	case !c.Cost.Fits:
		return "no memory"
	case a == nil:
		return "-"
	case a.Admitted:
		return fmt.Sprintf("yes, wait %.0f ms", a.WaitMS)
	default:
		return fmt.Sprintf("no, wait %.0f of %.0f ms, short of %s", a.WaitMS, a.WaitLimitMS, a.ShortOf)
	}
}
