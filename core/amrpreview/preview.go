// Package amrpreview holds the question where a router would send a request now, and the
// answer with the reasons.
//
// A router answers without sending the request and without recording anything, so that
// operators may ask at any time. Keys of callers are part of the question only; neither the
// answer nor the logs have them.
package amrpreview

import "amaranthreach.example/core/amrpool"

// Query is the request in question, as a caller would send it.
type Query struct {
	Host         string `json:"route-host"`
	Path         string `json:"path"`
	Key          string `json:"key,omitempty"`
	ID           string `json:"id,omitempty"` // Decides between the pools of a route.
	Model        string `json:"model,omitempty"`
	Parts        []Part `json:"parts,omitempty"`
	PromptTokens int    `json:"prompt-tokens,omitempty"`
	OutputTokens int    `json:"output-tokens,omitempty"`
	DeadlineMS   int64  `json:"deadline-ms,omitempty"` // Time for which the caller waits; 0 if it is unknown.
}

// Part is a part of the prompt.
type Part struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// PoolParts returns the parts of the prompt in the form of package amrpool.
func (q Query) PoolParts() []amrpool.Part {
	var parts []amrpool.Part
	for _, p := range q.Parts {
		parts = append(parts, amrpool.Part{ID: p.ID, Tokens: p.Tokens})
	}
	return parts
}

// Answer tells where the router would send the request now, and why.
type Answer struct {
	Router   string   `json:"router"`           // Host of the router that answers.
	Server   string   `json:"server,omitempty"` // Empty if the request would be refused.
	Refusal  *Refusal `json:"refusal,omitempty"`
	Certain  bool     `json:"certain"`             // Another router decides nothing of it.
	Waits    string   `json:"waits-for,omitempty"` // What the request would wait for before it is sent or refused.
	Route    string   `json:"route,omitempty"`
	Team     string   `json:"team,omitempty"`
	Priority int      `json:"priority"` // 0 is the most urgent.
	Pool     string   `json:"pool,omitempty"`
	Quota    *Quota   `json:"quota,omitempty"`
	Groups   []Group  `json:"groups,omitempty"` // Placement groups in the order in which they are asked.
}

// Refusal is how the request would be refused.
type Refusal struct {
	Code         string  `json:"code"`
	Status       int     `json:"status"` // Of the HTTP response.
	RetryAfterMS float64 `json:"retry-after-ms,omitempty"`
	Detail       string  `json:"detail,omitempty"`
}

// Decisions on the quota of a team.
const (
	QuotaAdmits             = "admits"
	QuotaRefuses            = "refuses"
	QuotaCoordinatorDecides = "coordinator-decides"
)

// Quota is the quota of the team.
type Quota struct {
	Weight      float64 `json:"weight"` // What the request counts.
	Unit        string  `json:"unit"`   // Either requests or tokens.
	Credit      float64 `json:"credit"` // What this router has fetched and not used yet.
	Coordinator string  `json:"coordinator,omitempty"`
	Decision    string  `json:"decision"`
}

// Group is the selection in a placement group.
type Group struct {
	Index       int         `json:"index"`
	Count       int         `json:"count"`                 // 0 if all servers of the pool are candidates.
	Coordinator string      `json:"coordinator,omitempty"` // Router that decides, if that is another one.
	Selected    bool        `json:"selected"`
	Server      string      `json:"server,omitempty"`
	CostMS      float64     `json:"cost-ms"`
	FetchFrom   string      `json:"fetch-from,omitempty"`
	Denial      string      `json:"denial,omitempty"`
	ByUrgency   bool        `json:"admits-by-urgency"`
	Candidates  []Candidate `json:"candidates"` // First those that may be selected, by cost.
}

// Candidate is a server of a group.
type Candidate struct {
	Server   string     `json:"server"`
	Zone     string     `json:"availability-zone"`
	Standing string     `json:"standing"`
	InFlight float64    `json:"in-flight"`
	Selected bool       `json:"selected"`
	Cost     *Cost      `json:"cost,omitempty"` // Nil if the server may not be selected.
	Admitted *Admission `json:"admission,omitempty"`
}

// Cost is the estimated cost of a candidate. The total is the sum of the parts, less the
// progress.
type Cost struct {
	TotalMS         float64 `json:"total-ms"`
	PromptMS        float64 `json:"prompt-ms"`
	ProgressMS      float64 `json:"progress-ms"`
	RequestsMS      float64 `json:"requests-ms"`
	MemoryMS        float64 `json:"memory-ms"`
	RoomMS          float64 `json:"room-ms"`
	ZoneMS          float64 `json:"zone-ms"`
	WeightsMS       float64 `json:"weights-ms"`
	FaultsMS        float64 `json:"faults-ms"`
	CachedTokens    int     `json:"cached-tokens"`
	PrefillTokens   float64 `json:"prefill-tokens"`
	PendingTokens   int     `json:"pending-tokens"`
	DuplicateTokens float64 `json:"duplicate-tokens"`
	Fits            bool    `json:"fits-memory"`
}

// Admission is the decision on the request at a candidate of a pool that admits by urgency.
type Admission struct {
	Admitted    bool    `json:"admitted"`
	WaitMS      float64 `json:"wait-ms"`
	WaitLimitMS float64 `json:"wait-limit-ms"`
	ShortOf     string  `json:"short-of,omitempty"` // What the wait is for.
}
