package amrrouter

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrreason"
)

const keptDecisions = 4096

// decisions keeps the latest decisions for explain.
type decisions struct {
	kept *lru.Cache[string, *decision]
}

// decision is why a request went where it did, or why it did not run.
type decision struct {
	mu           sync.Mutex
	requestID    string
	team         string
	deployment   string
	revision     uint64
	at           time.Time
	candidates   []candidate
	attempts     []attemptNote
	outcome      string
	reason       amrreason.Code
	ran          amrreason.Ran
	promptTokens uint32
	cachedTokens uint32
}

type attemptNote struct {
	server string
	result string
}

func newDecisions() *decisions {
	kept, err := lru.New[string, *decision](keptDecisions)
	if err != nil {
		panic(err) // Only for a size below one.
	}
	return &decisions{kept: kept}
}

func (d *decisions) begin(q *request, ranked []candidate, now time.Time) *decision {
	made := &decision{
		requestID:  q.id,
		team:       q.team,
		deployment: q.deployment,
		revision:   q.set.Revision(),
		at:         now,
		candidates: ranked,
		outcome:    "running",
	}
	d.kept.Add(q.id, made)
	return made
}

// refused notes a request that was refused before a session began.
func (d *decisions) refused(id, team string, refused *refusal, now time.Time) {
	if d.kept.Contains(id) {
		return
	}
	d.kept.Add(id, &decision{
		requestID: id,
		team:      team,
		at:        now,
		outcome:   "refused",
		reason:    refused.reason,
		ran:       refused.ran,
	})
}

func (d *decision) accepted(server string, _ *amrgate.Accepted) {
	d.add(server, "accepted")
}

func (d *decision) attempt(server string, reason amrreason.Code) {
	d.add(server, string(reason))
}

func (d *decision) finished(server string, end *amrgate.End, _ time.Time) {
	d.add(server, "finished")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outcome = "answered"
	d.promptTokens = end.GetPromptTokens()
	d.cachedTokens = end.GetCachedTokens()
}

func (d *decision) refused(refused *refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outcome = "refused"
	d.reason = refused.reason
	d.ran = refused.ran
}

func (d *decision) add(server, outcome string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attempts = append(d.attempts, attemptNote{server: server, result: outcome})
}
