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

// maxTold bounds the strikes that wait to be told to other routers.
const maxTold = 1024

// judge counts a strike for a run that broke off with its server, and forgets
// those of a request that ran well.
func (x *exchange) judge(now time.Time, server string, result amrpool.Result) {
	switch result {
	case amrpool.Failed:
		hash := xxh3.HashString(server)
		counted := x.f.strikes.Add(now, x.fingerprint, hash)
		x.f.log.Info("strike", "id", x.request.ID, "fingerprint", x.fingerprint, "server", server, "counted", counted)
		if counted {
			x.f.tell(amrgossip.Strike{Fingerprint: x.fingerprint, Server: hash})
		}
	case amrpool.Completed:
		if x.f.strikes.RanWell(now, x.fingerprint) {
			x.f.log.Info("strikes cleared", "id", x.request.ID, "fingerprint", x.fingerprint)
			x.f.tell(amrgossip.Strike{Fingerprint: x.fingerprint, Cleared: true})
		}
	}
}

// quarantine returns the refusal of a request that broke too many servers, or
// nil.
func (x *exchange) quarantine(now time.Time) *refusal {
	left := x.f.strikes.Quarantined(now, x.fingerprint)
	if left == 0 {
		return nil
	}
	if server, ok := x.f.strikes.Retell(now, x.fingerprint); ok {
		x.f.tell(amrgossip.Strike{Fingerprint: x.fingerprint, Server: server})
	}
	return &refusal{
		code: amrreason.Quarantined, ran: amrreason.NotRun, retryAfter: (left + time.Second - 1).Truncate(time.Second),
		detail: fmt.Sprintf("fingerprint %v, last strike %v ago", x.fingerprint, (amrsuspect.StrikeTime - left).Round(time.Millisecond)),
	}
}

func (f *Forwarder) tell(s amrgossip.Strike) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.told) < maxTold {
		f.told = append(f.told, s)
	}
}

// Strikes returns the strikes that other routers are to be told of since the
// last call.
func (f *Forwarder) Strikes() []amrgossip.Strike {
	f.mu.Lock()
	defer f.mu.Unlock()
	told := f.told
	f.told = nil
	return told
}

// Heard takes in the strikes that another router told of, and answers those of
// requests that ran well here just now.
func (f *Forwarder) Heard(now time.Time, strikes []amrgossip.Strike) {
	for _, s := range strikes {
		fingerprint := amrsuspect.Fingerprint(s.Fingerprint)
		if s.Cleared {
			f.strikes.Clear(fingerprint)
			continue
		}
		if !f.strikes.Add(now, fingerprint, s.Server) {
			f.tell(amrgossip.Strike{Fingerprint: s.Fingerprint, Cleared: true})
		}
	}
}
