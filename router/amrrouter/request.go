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

// defaultDeadline is the time limit of a request for which neither the caller nor
// the routing policy sets one.
const defaultDeadline = 2 * time.Minute

// request is a request of a caller after validation against the records.
type request struct {
	id             string
	team           string
	teamSpec       amrrecord.Team
	deployment     string
	deploymentSpec amrrecord.Deployment
	policy         amrrecord.RoutingPolicy
	records        amrrecord.Set // The records that are in force for this request.
	idempotencyKey string
	idempotent     bool
	deadline       time.Time
	priority       int // Lower runs first.
	prompt         string
	maxTokens      int
	stream         bool
	weights        string               // Version of the weights.
	blockKeys      []amrprompt.Key      // Of the blocks of the prompt.
	serviceCall    *amrgate.ServiceCall // Call of a plain service; nil for a model.
	releaseLimits  func(tokens int)     // Releases the capacity taken from the team's limits; nil before admission.
	fingerprint    amrsuspect.Fingerprint
}

// call holds the parameters that a caller sent, for every route.
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
	serviceCall    *amrgate.ServiceCall // Nil for a model.
}

// newRequest returns the validated request for a call, or the refusal of an invalid
// one.
func (r *Router) newRequest(id string, params call) (*request, *refusal) {
	records := r.follower.Current().ForRequest(id)
	team, ok := records.Team(params.team)
	if !ok {
		return nil, newRefusal(amrreason.Unauthorized, "")
	}
	deployment, ok := records.Deployment(params.deployment)
	if !ok {
		return nil, newRefusal(amrreason.UnknownDeployment, params.deployment)
	}
	if !isTeamAllowed(deployment, params.team) {
		return nil, newRefusal(amrreason.Forbidden, params.deployment)
	}
	policy, _ := records.RoutingPolicy(deployment.RoutingPolicy)
	q := &request{
		id:             id,
		team:           params.team,
		teamSpec:       team,
		deployment:     params.deployment,
		deploymentSpec: deployment,
		policy:         policy,
		records:        records,
		idempotent:     params.idempotent,
		priority:       team.Priority,
		prompt:         params.prompt,
		maxTokens:      params.maxTokens,
		stream:         params.stream,
		serviceCall:    params.serviceCall,
	}
	if params.priority != nil {
		q.priority += *params.priority
	}
	if params.idempotencyKey != nil {
		q.idempotencyKey = *params.idempotencyKey
	}
	if refused := q.setDeadline(r.clock.Now(), params.timeout); refused != nil {
		return nil, refused
	}
	if refused := q.validate(); refused != nil {
		return nil, refused
	}
	q.selectWeights(r.membership.view(records), nil)
	return q, nil
}

// selectWeights selects the version of the weights for the request and computes
// the keys of its prompt's blocks, which depend on the version. It ignores
// versions that only excluded backend servers hold. The selection depends on the
// team and the first block of the prompt, so that requests with a common prefix
// get the same version.
func (q *request) selectWeights(view amrmember.View, excluded []string) {
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
	q.blockKeys = amrprompt.Keys(scope, q.prompt)
}

// validate checks that the type of the deployment matches the route and that a
// non-idempotent request has an idempotency key. It also sets the fingerprint, and
// makes a call non-idempotent if the record marks its path so.
func (q *request) validate() *refusal {
	wanted := amrrecord.TypeModel
	if q.serviceCall != nil {
		wanted = amrrecord.TypeService
		q.idempotent = q.idempotent && !isNonIdempotentPath(q.deploymentSpec, q.serviceCall.GetPath())
	}
	if q.deploymentSpec.Type != wanted {
		return newRefusal(amrreason.BadRequest, fmt.Sprintf("deployment %s is of type %s", q.deployment, q.deploymentSpec.Type))
	}
	q.fingerprint = amrsuspect.FingerprintOf(q.team, q.digest())
	if !q.idempotent && q.idempotencyKey == "" {
		return newRefusal(amrreason.IdempotencyKeyRequired, "Idempotency-Key")
	}
	return nil
}

// setDeadline sets the deadline to the limit of the routing policy or the timeout
// that the caller sent, whichever is earlier.
func (q *request) setDeadline(now time.Time, timeout *string) *refusal {
	limit := q.policy.Deadline
	if limit <= 0 {
		limit = defaultDeadline
	}
	if timeout != nil {
		wanted, err := time.ParseDuration(*timeout)
		if err != nil || wanted <= 0 {
			return newRefusal(amrreason.BadRequest, "Request-Timeout: write a time such as 30s")
		}
		limit = min(limit, wanted)
	}
	q.deadline = now.Add(limit)
	return nil
}

// isTeamAllowed reports whether the team may use the deployment. A deployment that
// lists no teams may be used by all.
func isTeamAllowed(deployment amrrecord.Deployment, team string) bool {
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

// digest returns a hash of the content of the request. It serves to detect an
// idempotency key that is reused for another request, and to compute the
// fingerprint.
func (q *request) digest() string {
	if q.serviceCall != nil {
		return amrledger.Digest(q.deployment, q.serviceCall.GetMethod(), q.serviceCall.GetPath(), q.serviceCall.GetContentType(), string(q.serviceCall.GetBody()))
	}
	return amrledger.Digest(q.deployment, q.prompt, strconv.Itoa(q.maxTokens))
}

// isNonIdempotentPath reports whether the deployment's record marks calls of the
// requested path as non-idempotent.
func isNonIdempotentPath(deployment amrrecord.Deployment, requested string) bool {
	cleaned := path.Clean("/" + requested)
	for _, prefix := range deployment.NonIdempotent {
		if strings.HasPrefix(cleaned, path.Clean("/"+prefix)) {
			return true
		}
	}
	return false
}
