package amrcommand

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"amaranthreach.example/router/gen/operators"
)

// explanationView is the output for the decision on one request.
type explanationView struct {
	RequestID    string          `json:"request-id"`
	Summary      string          `json:"summary"`
	At           string          `json:"at"`
	Team         string          `json:"team"`
	Deployment   string          `json:"deployment"`
	Policy       string          `json:"policy,omitempty"`
	Revision     uint64          `json:"revision"`
	Outcome      string          `json:"outcome"`
	Reason       string          `json:"reason,omitempty"`
	Ran          string          `json:"ran"`
	Detail       string          `json:"detail,omitempty"`
	PromptTokens uint32          `json:"prompt-tokens"`
	CachedTokens uint32          `json:"cached-tokens"`
	Candidates   []candidateView `json:"candidates,omitempty"`
	Attempts     []attemptView   `json:"attempts,omitempty"`
}

// candidateView is the output for one backend server that the router considered.
type candidateView struct {
	BackendServer string `json:"backend-server"`
	Cost          string `json:"cost"`
	Wait          string `json:"wait,omitempty"`
	CachedTokens  uint32 `json:"cached-tokens"`
}

// attemptView is the output for one attempt to run a request.
type attemptView struct {
	BackendServer string `json:"backend-server"`
	Result        string `json:"result"`
	After         string `json:"after,omitempty"`
	Reason        string `json:"reason,omitempty"`
	Ran           string `json:"ran,omitempty"`
}

// explanationOf converts a router's explanation to its output.
func explanationOf(e *operators.Explanation) explanationView {
	view := explanationView{
		RequestID:    e.RequestID,
		Summary:      e.Summary,
		At:           e.At,
		Team:         e.Team,
		Deployment:   e.Deployment,
		Policy:       valueOf(e.Policy),
		Revision:     e.Revision,
		Outcome:      e.Outcome,
		Reason:       e.Reason,
		Ran:          e.Ran,
		Detail:       valueOf(e.Detail),
		PromptTokens: e.PromptTokens,
		CachedTokens: e.CachedTokens,
	}
	for _, c := range e.Candidates {
		view.Candidates = append(view.Candidates, candidateView{c.BackendServer, c.Cost, valueOf(c.Wait), valueOf(c.CachedTokens)})
	}
	for _, a := range e.Attempts {
		view.Attempts = append(view.Attempts, attemptView{a.BackendServer, a.Result, valueOf(a.After), valueOf(a.Reason), valueOf(a.Ran)})
	}
	return view
}

// printRefusals prints refused requests, and says so if there may be more.
func (o *options) printRefusals(found *operators.Refusals) error {
	views := make([]explanationView, 0, len(found.Refusals))
	for _, e := range found.Refusals {
		views = append(views, explanationOf(e))
	}
	return o.print(views, func(w io.Writer) {
		fmt.Fprintln(w, "WHEN\tTEAM\tDEPLOYMENT\tREASON\tRAN\tDETAIL\tREQUEST")
		for _, v := range views {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", v.At, v.Team, v.Deployment, v.Reason, v.Ran, v.Detail, v.RequestID)
		}
		if !found.Complete {
			fmt.Fprintln(w, "there may be more refusals; narrow the time range or raise --limit")
		}
	})
}

// statusView is the output of status.
type statusView struct {
	Revision       uint64              `json:"revision"`
	Routers        []routerView        `json:"routers"`
	BackendServers []backendServerView `json:"backend-servers"`
	Struck         int                 `json:"struck"` // Requests that were running during a crash of a backend server; -1 if the table did not answer.
	Quarantined    int                 `json:"quarantined"`
	ExplainPending int                 `json:"explain-pending"` // Decisions that are not stored yet.
	ExplainDropped uint64              `json:"explain-dropped"` // Decisions that were never stored.
}

// routerView is the output for one router.
type routerView struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability-zone"`
	Ready            bool   `json:"ready"`
	Revision         uint64 `json:"revision"`
	Age              string `json:"age,omitempty"`
	Error            string `json:"error,omitempty"`
}

// backendServerView is the output for one backend server.
type backendServerView struct {
	Name             string `json:"name"`
	Deployment       string `json:"deployment"`
	AvailabilityZone string `json:"availability-zone"`
	State            string `json:"state"`
	Running          uint32 `json:"running"`
	Queued           uint32 `json:"queued"`
	WeightsVersion   string `json:"weights-version,omitempty"`
	Revision         uint64 `json:"revision"`
}

func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show routers and backend servers, and the revision of their records",
		Args:  checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.call(cmd, func(ctx context.Context, s *session) error {
				status, err := s.Status(ctx, &operators.StatusPayload{Key: s.key})
				if err != nil {
					return err
				}
				view := statusOf(status)
				return o.print(view, view.writeTable)
			})
		},
	}
}

// statusOf converts a router's status of the fleet to its output.
func statusOf(s *operators.FleetStatus) statusView {
	view := statusView{Revision: s.Revision, Struck: s.Struck, Quarantined: s.Quarantined, ExplainPending: s.ExplainPending, ExplainDropped: s.ExplainDropped}
	for _, r := range s.Routers {
		view.Routers = append(view.Routers, routerView{r.Name, r.AvailabilityZone, r.Ready, r.Revision, valueOf(r.Age), valueOf(r.Error)})
	}
	for _, b := range s.BackendServers {
		view.BackendServers = append(view.BackendServers, backendServerView{b.Name, b.Deployment, b.AvailabilityZone, b.State,
			valueOf(b.Running), valueOf(b.Queued), valueOf(b.WeightsVersion), valueOf(b.Revision)})
	}
	return view
}

// writeTable writes the view as tables.
func (v statusView) writeTable(w io.Writer) {
	fmt.Fprintf(w, "revision %d; %d decisions not yet stored, %d dropped\n", v.Revision, v.ExplainPending, v.ExplainDropped)
	if v.Struck < 0 {
		fmt.Fprint(w, "number of requests suspected of crashing backend servers not known: the table does not answer\n\n")
	} else {
		fmt.Fprintf(w, "%d requests suspected of crashing backend servers, %d of them in quarantine\n\n", v.Struck, v.Quarantined)
	}
	fmt.Fprintln(w, "ROUTER\tZONE\tREADY\tREVISION\tAGE\tERROR")
	for _, r := range v.Routers {
		fmt.Fprintf(w, "%s\t%s\t%t\t%d\t%s\t%s\n", r.Name, r.AvailabilityZone, r.Ready, r.Revision, r.Age, r.Error)
	}
	fmt.Fprintln(w, "\nBACKEND SERVER\tDEPLOYMENT\tZONE\tSTATE\tRUNNING\tQUEUED\tWEIGHTS\tREVISION")
	for _, b := range v.BackendServers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%d\n", b.Name, b.Deployment, b.AvailabilityZone, b.State, b.Running, b.Queued, b.WeightsVersion, b.Revision)
	}
}

// valueOf returns the value that p points to, or the zero value if p is nil.
func valueOf[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}
