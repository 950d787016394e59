package amrsidecar

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrledger"
	"amaranthreach.example/core/amrreason"
)

// claimStore records the claims that the sidecar has started or sealed, so that
// non-idempotent work runs at most once. It is safe for concurrent use.
type claimStore struct {
	clock     clockwork.Clock
	startTime time.Time // Start of the sidecar.

	mu     sync.Mutex
	claims *amrledger.Claims
}

func newClaimStore(incarnation string, clock clockwork.Clock) *claimStore {
	return &claimStore{clock: clock, startTime: clock.Now(), claims: amrledger.NewClaims(incarnation)}
}

// now returns the time since the sidecar's start. The time until which a claim may
// start is given by this clock, so that clocks of different hosts need not agree.
func (c *claimStore) now() time.Duration {
	return c.clock.Since(c.startTime)
}

// start reports whether the claim may run, and if so records that it runs.
// Otherwise it returns the reason, and ran is NotRun if the claim has not run and
// never will.
func (c *claimStore) start(claim *amrgate.Claim) (ok bool, reason amrreason.Code, ran amrreason.Ran) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.claims.Start(c.now(), amrledger.Claim{
		Token:       string(claim.GetToken()),
		Fence:       claim.GetFence(),
		Incarnation: claim.GetSidecarIncarnation(),
		WindowEnd:   time.Duration(claim.GetWindowEndMs()) * time.Millisecond,
	})
}

// end records how a claim that was started has ended: with an answer, without
// having run, or with an unknown outcome.
func (c *claimStore) end(token string, answer *amrledger.Answer, ran amrreason.Ran) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case answer != nil:
		c.claims.Finish(token, answer)
	case ran == amrreason.NotRun:
		c.claims.Withdraw(token)
	default:
		c.claims.Fail(token)
	}
}

// seal prevents the claim from starting if it has not started yet. It returns the
// outcome, and the answer if the claim has finished.
func (c *claimStore) seal(request *amrgate.SealRequest) (amrledger.SealOutcome, *amrledger.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.claims.Seal(c.now(), amrledger.Claim{
		Token:       string(request.GetToken()),
		Fence:       request.GetFence(),
		Incarnation: request.GetSidecarIncarnation(),
		WindowEnd:   time.Duration(request.GetWindowEndMs()) * time.Millisecond,
	})
}

// Seal prevents a claim from running if it has not started yet, and returns the
// answer of one that has finished.
func (g *gate) Seal(_ context.Context, request *amrgate.SealRequest) (*amrgate.SealReply, error) {
	outcome, answer := g.claimStore.seal(request)
	reply := &amrgate.SealReply{Outcome: string(outcome)}
	if answer != nil {
		reply.Answer = &amrgate.DispatchAnswer{
			Text: answer.Text,
			Body: answer.Body,
			End: &amrgate.End{
				FinishReason:     answer.FinishReason,
				PromptTokens:     uint32(answer.PromptTokens),
				CachedTokens:     uint32(answer.CachedTokens),
				CompletionTokens: uint32(answer.CompletionTokens),
				Status:           int32(answer.Status),
				ContentType:      answer.ContentType,
			},
		}
	}
	return reply, nil
}

// claimExecution is a claim in progress. Its work goes on if the router goes away,
// so that a later request with the same key gets the answer.
type claimExecution struct {
	claimStore *claimStore
	token      string
	answer     amrledger.Answer // Received so far.
}

// add appends a chunk to the answer.
func (e *claimExecution) add(c answerChunk) {
	e.answer.Text += c.text
	e.answer.Body = append(e.answer.Body, c.body...)
}

// recordAnswer records the complete answer.
func (e *claimExecution) recordAnswer(result attemptResult) {
	e.answer.Status = result.status
	e.answer.ContentType = result.contentType
	e.answer.FinishReason = result.finishReason
	e.answer.PromptTokens = result.promptTokens
	e.answer.CachedTokens = result.cachedTokens
	e.answer.CompletionTokens = result.completionTokens
	e.claimStore.end(e.token, &e.answer, amrreason.DidRun)
}

// recordFailure records that the claim has ended without a complete answer, and
// whether it ran.
func (e *claimExecution) recordFailure(ran amrreason.Ran) {
	e.claimStore.end(e.token, nil, ran)
}
