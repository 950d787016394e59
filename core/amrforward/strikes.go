package amrforward

import (
	"time"

	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrpool"
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
		x.f.strikes.Add(now, x.fingerprint, hash)
		x.f.tell(amrgossip.Strike{Fingerprint: x.fingerprint, Server: hash})
	case amrpool.Completed:
		if x.f.strikes.Clear(x.fingerprint) {
			x.f.tell(amrgossip.Strike{Fingerprint: x.fingerprint, Cleared: true})
		}
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

// Heard takes in the strikes that another router told of.
func (f *Forwarder) Heard(now time.Time, strikes []amrgossip.Strike) {
	for _, s := range strikes {
		if s.Cleared {
			f.strikes.Clear(amrsuspect.Fingerprint(s.Fingerprint))
			continue
		}
		f.strikes.Add(now, amrsuspect.Fingerprint(s.Fingerprint), s.Server)
	}
}
