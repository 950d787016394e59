package amrpool

import (
	"slices"

	"github.com/zeebo/xxh3"
)

// SoftwareID identifies a version of backend servers' software in messages between
// routers. It is a hash of the version, and not 0.
type SoftwareID uint32

// SoftwareIDOf returns the ID of the version of the software.
func SoftwareIDOf(version string) SoftwareID {
	return SoftwareID(max(1, uint32(xxh3.HashString(version))))
}

// SoftwareVersions returns the versions of the software of the pool's servers, also of
// those that accept no new requests, in ascending order.
func (f *Fleet) SoftwareVersions(pool string) []SoftwareID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var versions []SoftwareID
	for _, s := range f.pools[pool] {
		if !slices.Contains(versions, s.software) {
			versions = append(versions, s.software)
		}
	}
	slices.Sort(versions)
	return versions
}

// hasSoftware reports whether the server may get the request, which may be one that goes
// on with a stream of another server.
func (s *server) hasSoftware(r *Request) bool {
	return r.Software == 0 || r.Software == s.software
}
