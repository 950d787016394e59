package amrforward

import (
	"fmt"
	"time"

	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrsuspect"
)

// maxPendingStrikes bounds the queue of strikes to be sent to other routers.
// Further strikes are not sent.
const maxPendingStrikes = 1024

// updateStrikes adds a strike to the request if its connection to the backend
// server broke, which may mean that it crashed the server, and clears its
// strikes if it completed. Other routers are notified of either.
func (x *exchange) updateStrikes(now time.Time, server string, result amrpool.Result) {
	switch result {
	case amrpool.Failed:
		hash := xxh3.HashString(server)
		counted := x.f.strikes.Add(now, x.fingerprint, hash)
		x.f.log.Info("strike", "id", x.request.ID, "fingerprint", x.fingerprint, "server", server, "counted", counted)
		if counted {
			x.f.queueStrike(amrgossip.Strike{Fingerprint: x.fingerprint, Server: hash})
		}
	case amrpool.Completed:
		if x.f.strikes.RecordSuccess(now, x.fingerprint) {
			x.f.log.Info("strikes cleared", "id", x.request.ID, "fingerprint", x.fingerprint)
			x.f.queueStrike(amrgossip.Strike{Fingerprint: x.fingerprint, Cleared: true})
		}
	}
}

// checkQuarantine returns a refusal if the request has too many strikes, and
// nil otherwise. With a refusal, it also reminds the other routers of a strike
// if a reminder is due.
func (x *exchange) checkQuarantine(now time.Time) *refusal {
	left := x.f.strikes.QuarantineRemaining(now, x.fingerprint)
	if left == 0 {
		return nil
	}
	if server, ok := x.f.strikes.NextReminder(now, x.fingerprint); ok {
		x.f.queueStrike(amrgossip.Strike{Fingerprint: x.fingerprint, Server: server})
	}
	return &refusal{
		code: amrreason.Quarantined, ran: amrreason.NotRun, retryAfter: (left + time.Second - 1).Truncate(time.Second),
		detail: fmt.Sprintf("fingerprint %v, last strike %v ago", x.fingerprint, (amrsuspect.StrikeTTL - left).Round(time.Millisecond)),
	}
}

// queueStrike queues the strike to be sent to other routers.
func (f *Forwarder) queueStrike(s amrgossip.Strike) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pendingStrikes) < maxPendingStrikes {
		f.pendingStrikes = append(f.pendingStrikes, s)
	}
}

// TakePendingStrikes returns the strikes to send to other routers, and removes
// them from the queue.
func (f *Forwarder) TakePendingStrikes() []amrgossip.Strike {
	f.mu.Lock()
	defer f.mu.Unlock()
	pendingStrikes := f.pendingStrikes
	f.pendingStrikes = nil
	return pendingStrikes
}

// ApplyStrikes applies strikes received from another router. If a request with
// a received strike has completed here shortly before, the strike is not
// counted, and the other routers are notified that the request is cleared.
func (f *Forwarder) ApplyStrikes(now time.Time, strikes []amrgossip.Strike) {
	for _, s := range strikes {
		fingerprint := amrsuspect.Fingerprint(s.Fingerprint)
		if s.Cleared {
			f.strikes.Clear(fingerprint)
			continue
		}
		if !f.strikes.Add(now, fingerprint, s.Server) {
			f.queueStrike(amrgossip.Strike{Fingerprint: s.Fingerprint, Cleared: true})
		}
	}
}
