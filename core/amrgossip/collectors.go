package amrgossip

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	// collectors is the number of routers that collect the strikes of a request, or
	// the crashes of the servers of a model.
	collectors = 2

	// maxCrashes is the maximum number of crashes in one message, which keeps it
	// within maxDatagram. Each has at most MaxSuspectParts parts.
	maxCrashes = 8

	// MaxSuspectParts is the maximum number of parts of a PartCrash.
	MaxSuspectParts = 5
)

// report sends reports to the routers that collect them.
func (e *Exchange) report() {
	byHost := make(map[HostID]*Reports)
	add := func(key uint64, add func(*Reports)) {
		for _, host := range e.collectorsOf(key) {
			if byHost[host] == nil {
				byHost[host] = &Reports{}
			}
			add(byHost[host])
		}
	}
	reports := e.state.TakeReports()
	for _, s := range reports.Strikes {
		add(xxh3.Hash(s.Fingerprint[:]), func(r *Reports) { r.Strikes = append(r.Strikes, s) })
	}
	for _, c := range reports.Crashes {
		add(c.Model, func(r *Reports) { r.Crashes = append(r.Crashes, c) })
	}
	for _, p := range reports.Sound {
		add(p.Model, func(r *Reports) { r.Sound = append(r.Sound, p) })
	}
	for host, r := range byHost {
		if host == e.host {
			e.state.ApplyReports(e.clock.Now(), *r)
			continue
		}
		e.sendReports(host, *r)
	}
}

// sendReports sends reports to another router.
func (e *Exchange) sendReports(to HostID, r Reports) {
	for some := range slices.Chunk(r.Strikes, maxFactItems) {
		e.send(to, message{Reports: some}, kindFacts)
	}
	for some := range slices.Chunk(r.Crashes, maxCrashes) {
		e.send(to, message{Crashes: some}, kindFacts)
	}
	for some := range slices.Chunk(r.Sound, maxFactItems) {
		e.send(to, message{Sound: some}, kindFacts)
	}
}

// collectorsOf returns the routers that collect the reports with the key, by
// rendezvous hashing over all routers.
func (e *Exchange) collectorsOf(key uint64) []HostID {
	return first(append(e.others(), e.host), key, collectors)
}

// IsFirstCollector reports whether this router is the first of those that collect the strikes of
// the request with the fingerprint.
func (e *Exchange) IsFirstCollector(fingerprint [16]byte) bool {
	return first(append(e.others(), e.host), xxh3.Hash(fingerprint[:]), 1)[0] == e.host
}

// RoutersFor returns up to n other routers, by their rank for the key in rendezvous
// hashing.
func (e *Exchange) RoutersFor(key uint64, n int) []HostID {
	return first(e.others(), key, n)
}

// others returns the other routers.
func (e *Exchange) others() []HostID {
	e.mu.Lock()
	defer e.mu.Unlock()
	var hosts []HostID
	for _, p := range e.peers {
		hosts = append(hosts, p.host)
	}
	return hosts
}

// first returns up to n of the hosts, by their rank for the key in rendezvous hashing.
func first(hosts []HostID, key uint64, n int) []HostID {
	slices.SortFunc(hosts, func(a, b HostID) int { return cmp.Compare(rank(b, key), rank(a, key)) })
	return hosts[:min(n, len(hosts))]
}

// rank returns the rank of the host for the key in rendezvous hashing.
func rank(host HostID, key uint64) uint64 {
	return xxh3.HashSeed(binary.LittleEndian.AppendUint32(nil, uint32(host)), key)
}
