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

// claims is the memory of non-idempotent work that the sidecar ran or sealed.
type claims struct {
	clock clockwork.Clock
	start time.Time

	mu     sync.Mutex
	memory *amrledger.Claims
}

func newClaims(incarnation string, clock clockwork.Clock) *claims {
	return &claims{clock: clock, start: clock.Now(), memory: amrledger.NewClaims(incarnation)}
}

// now returns the sidecar's clock: the time since its start.
func (c *claims) now() time.Duration {
	return c.clock.Since(c.start)
}

// begin decides whether the claim may run.
func (c *claims) begin(claim *amrgate.Claim) (ok bool, reason amrreason.Code, ran amrreason.Ran) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.memory.Start(c.now(), amrledger.Claim{
		Token:       string(claim.GetToken()),
		Fence:       claim.GetFence(),
		Incarnation: claim.GetSidecarIncarnation(),
		WindowEnd:   time.Duration(claim.GetWindowEndMs()) * time.Millisecond,
	})
}

// end notes how a claim ended that began.
func (c *claims) end(token string, answer *amrledger.Answer, ran amrreason.Ran) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case answer != nil:
		c.memory.Finish(token, answer)
	case ran == amrreason.NotRun:
		c.memory.Withdraw(token)
	default:
		c.memory.Fail(token)
	}
}

func (c *claims) seal(request *amrgate.SealRequest) (amrledger.SealOutcome, *amrledger.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.memory.Seal(c.now(), amrledger.Claim{
		Token:       string(request.GetToken()),
		Fence:       request.GetFence(),
		Incarnation: request.GetSidecarIncarnation(),
		WindowEnd:   time.Duration(request.GetWindowEndMs()) * time.Millisecond,
	})
}

// Seal makes sure that a claim that has not run never will.
func (g *gate) Seal(_ context.Context, request *amrgate.SealRequest) (*amrgate.SealReply, error) {
	outcome, answer := g.claims.seal(request)
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

// claimRun is a claim in progress. Its work goes on when the router is gone,
// so that a later request with the key finds the answer.
type claimRun struct {
	claims *claims
	token  string
	answer amrledger.Answer
}

// add keeps a piece of the answer.
func (r *claimRun) add(p piece) {
	r.answer.Text += p.text
	r.answer.Body = append(r.answer.Body, p.body...)
}

// finished keeps the whole answer.
func (r *claimRun) finished(end result) {
	r.answer.Status = end.status
	r.answer.ContentType = end.contentType
	r.answer.FinishReason = end.finishReason
	r.answer.PromptTokens = end.promptTokens
	r.answer.CachedTokens = end.cachedTokens
	r.answer.CompletionTokens = end.completionTokens
	r.claims.end(r.token, &r.answer, amrreason.DidRun)
}

// failed notes a run without a whole answer.
func (r *claimRun) failed(ran amrreason.Ran) {
	r.claims.end(r.token, nil, ran)
}
