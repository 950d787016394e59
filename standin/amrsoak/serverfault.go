package amrsoak

import (
	"strconv"
	"time"

	"amaranthreach.example/standin/amrsite"
)

// failRequests applies the server fault to as many requests as f says.
func (s *site) failRequests(b *server, fault amrsite.Fault, f fault) {
	b.SetFault(fault, f.FaultyRequests)
	s.clock.Sleep(f.Length)
	b.SetFault(amrsite.FaultNone, 0)
}

// noLengthFaults are the faults with responses that end with their connection.
var noLengthFaults = []amrsite.Fault{amrsite.FaultNoLength, amrsite.FaultNoLengthTruncate}

// brokenFaults are the faults with responses that are no answers by HTTP, and some with whole
// answers that look unusual.
var brokenFaults = []amrsite.Fault{
	amrsite.FaultEarlyReset, amrsite.FaultInvalidStatus, amrsite.FaultFieldName, amrsite.FaultLengthName,
	amrsite.FaultEarlyReset, amrsite.FaultEarlyWhole, amrsite.FaultInterim, amrsite.FaultOddFields,
}

// endlessFaults are the faults with responses that do not end.
var endlessFaults = []amrsite.Fault{amrsite.FaultEndlessHead, amrsite.FaultEndlessBody}

// drainServer lists the server as draining, as before a planned stop, and a new
// incarnation of it as ready after the duration and the time limit for draining.
func (s *site) drainServer(b *server, d time.Duration) {
	s.drain(b)
	s.clock.Sleep(d + defaultTimeLimits.drain)
	s.restartServer(b)
}

// crashServer resets the server's connections and refuses new ones for the
// duration.
func (s *site) crashServer(b *server, d time.Duration) {
	b.proxy.Set(ProxyFaults{Refuse: true})
	b.proxy.Reset()
	s.clock.Sleep(d)
	b.proxy.Set(ProxyFaults{})
}

// tellLeaving lets the server tell in its responses that it is leaving, although
// it is listed as ready, for the duration and the time limit for draining. Then it
// restarts.
func (s *site) tellLeaving(b *server, d time.Duration) {
	b.SetLeaving(true)
	s.clock.Sleep(d + defaultTimeLimits.drain)
	b.SetLeaving(false)
	s.restartServer(b)
}

// restartServer lists a new incarnation of the server as ready.
func (s *site) restartServer(b *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checker.recordDraining(b.Name, false)
	s.checker.forgetServer(b.Name)
	b.Restart()
	b.entry.Seq++
	b.entry.Born = b.Started().UnixMilli()
	b.entry = b.entry.WithWeights(b.Version())
	b.listed = b.entry
	s.store.PutServer(b.Name, b.listed)
}

// pauseAsked is the time for which servers ask for no requests.
const pauseAsked = 3 * time.Second

// askPause lets the server reject some requests and ask for no more of them for
// some time.
func (s *site) askPause(b *server, f fault) {
	b.SetRetryAfter(strconv.Itoa(int(pauseAsked.Seconds())))
	b.SetFault(amrsite.FaultReject, f.FaultyRequests)
	s.clock.Sleep(f.Length)
	b.SetFault(amrsite.FaultNone, 0)
	b.SetRetryAfter("")
}
