package amrrouter

import (
	"fmt"
	"maps"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrledger"
	"amaranthreach.example/core/amrmember"
	"amaranthreach.example/core/amrorder"
	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrrecord"
	"amaranthreach.example/core/amrsuspect"
)

// defaultDeadline bounds requests whose caller and policy set no bound.
const defaultDeadline = 2 * time.Minute

// request is one request of a caller, checked against the records in force.
type request struct {
	id             string
	team           string
	teamSpec       amrrecord.Team
	deployment     string
	deploymentSpec amrrecord.Deployment
	policy         amrrecord.RoutingPolicy
	set            amrrecord.Set
	idempotencyKey string
	idempotent     bool
	deadline       time.Time
	priority       int
	prompt         string
	maxTokens      int
	stream         bool
	weights        string
	keys           []amrprompt.Key
	call           *amrgate.ServiceCall
	release        func(tokens int) // Gives back what the request took of its team's limits.
	fingerprint    amrsuspect.Fingerprint
}

// call holds what a caller sent, whatever the route.
type call struct {
	team           string
	deployment     string
	idempotencyKey *string
	timeout        *string
	priority       *int
	idempotent     bool
	prompt         string
	maxTokens      int
	stream         bool
	service        *amrgate.ServiceCall
}

// newRequest checks a call against the records in force.
func (r *Router) newRequest(id string, c call) (*request, *refusal) {
	set := r.follower.Current().ForRequest(id)
	team, ok := set.Team(c.team)
	if !ok {
		return nil, refuse(amrreason.Unauthorized, "")
	}
	deployment, ok := set.Deployment(c.deployment)
	if !ok {
		return nil, refuse(amrreason.UnknownDeployment, c.deployment)
	}
	if !allowed(deployment, c.team) {
		return nil, refuse(amrreason.Forbidden, c.deployment)
	}
	policy, _ := set.RoutingPolicy(deployment.RoutingPolicy)
	q := &request{
		id:             id,
		team:           c.team,
		teamSpec:       team,
		deployment:     c.deployment,
		deploymentSpec: deployment,
		policy:         policy,
		set:            set,
		idempotent:     c.idempotent,
		priority:       team.Priority,
		prompt:         c.prompt,
		maxTokens:      c.maxTokens,
		stream:         c.stream,
		call:           c.service,
	}
	if c.priority != nil {
		q.priority += *c.priority
	}
	if c.idempotencyKey != nil {
		q.idempotencyKey = *c.idempotencyKey
	}
	if refused := q.setDeadline(r.clock.Now(), c.timeout); refused != nil {
		return nil, refused
	}
	if refused := q.check(); refused != nil {
		return nil, refused
	}
	q.bind(r.membership.view(set), nil)
	return q, nil
}

// bind chooses the version of the weights, one that not only the excluded
// backend servers hold, and derives the block keys.
func (q *request) bind(view amrmember.View, excluded []string) {
	held := maps.Clone(view.Weights(q.deployment))
	for _, name := range excluded {
		m, ok := view.Member(q.deployment, name)
		if !ok || m.Exclusion != amrmember.Eligible {
			continue
		}
		if held[m.WeightsVersion]--; held[m.WeightsVersion] <= 0 {
			delete(held, m.WeightsVersion)
		}
	}
	seed := xxh3.HashString(q.team + "\x00" + q.prompt[:min(len(q.prompt), amrprompt.BytesPerBlock)])
	q.weights = amrorder.PickVersion(q.deploymentSpec.Versions, held, seed)
	scope := amrprompt.Scope{Team: q.team, Deployment: q.deployment, WeightsVersion: q.weights}
	q.keys = amrprompt.Keys(scope, q.prompt)
}

// check checks that the deployment's type suits the route.
func (q *request) check() *refusal {
	wanted := amrrecord.TypeModel
	if q.call != nil {
		wanted = amrrecord.TypeService
		q.idempotent = q.idempotent && !nonIdempotent(q.deploymentSpec, q.call.GetPath())
	}
	if q.deploymentSpec.Type != wanted {
		return refuse(amrreason.BadRequest, fmt.Sprintf("deployment %s is of type %s", q.deployment, q.deploymentSpec.Type))
	}
	q.fingerprint = amrsuspect.FingerprintOf(q.team, q.digest())
	if !q.idempotent && q.idempotencyKey == "" {
		return refuse(amrreason.KeyRequired, "Idempotency-Key")
	}
	return nil
}

func (q *request) setDeadline(now time.Time, timeout *string) *refusal {
	limit := q.policy.Deadline
	if limit <= 0 {
		limit = defaultDeadline
	}
	if timeout != nil {
		wanted, err := time.ParseDuration(*timeout)
		if err != nil || wanted <= 0 {
			return refuse(amrreason.BadRequest, "Request-Timeout: write a time such as 30s")
		}
		limit = min(limit, wanted)
	}
	q.deadline = now.Add(limit)
	return nil
}

func allowed(deployment amrrecord.Deployment, team string) bool {
	if len(deployment.Teams) == 0 {
		return true
	}
	for _, name := range deployment.Teams {
		if name == team {
			return true
		}
	}
	return false
}

// digest identifies the content of the request under its idempotency key.
func (q *request) digest() string {
	if q.call != nil {
		return amrledger.Digest(q.deployment, q.call.GetMethod(), q.call.GetPath(), q.call.GetContentType(), string(q.call.GetBody()))
	}
	return amrledger.Digest(q.deployment, q.prompt, strconv.Itoa(q.maxTokens))
}

func nonIdempotent(deployment amrrecord.Deployment, called string) bool {
	cleaned := path.Clean("/" + called)
	for _, prefix := range deployment.NonIdempotent {
		if strings.HasPrefix(cleaned, path.Clean("/"+prefix)) {
			return true
		}
	}
	return false
}
