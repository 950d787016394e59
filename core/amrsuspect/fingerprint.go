// Package amrsuspect stops requests that crash the backend servers that run
// them.
//
// A request that was running when a backend server crashed gets a strike for
// that crash. Requests with the same content count as one request, identified
// by a Fingerprint.
//
// Where backend servers have sidecars, a request with a strike is a suspect. A
// Store keeps the suspects in the platform's table. A suspect may run only as a
// trial, which a router begins by a conditional write to the table. A suspect
// has one trial at a time over all routers, and a sidecar runs no two trials at
// the same time, so that a further crash can be attributed to it. A trial that
// completes clears the suspect. After a second crash the request is quarantined
// until an operator lifts the quarantine. A Registry is one router's view of
// the suspects, and LocalStrikes holds the strikes that a sidecar has seen.
//
// Where routers reach backend servers directly, they share no table of
// suspects. Each router counts strikes in a Strikes, and routers notify each
// other of them.
package amrsuspect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// Fingerprint identifies the content of requests. All requests of a team with
// the same content have the same Fingerprint.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request of the team whose content
// consists of the given parts.
func FingerprintOf(team string, parts ...string) Fingerprint {
	h := sha256.New()
	for _, part := range append([]string{team}, parts...) {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:])
		_, _ = io.WriteString(h, part)
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// ParseFingerprint parses a fingerprint in the format of Fingerprint.String. It
// returns false if s is not a fingerprint.
func ParseFingerprint(s string) (Fingerprint, bool) {
	b, err := hex.DecodeString(s)
	if err != nil {
		return Fingerprint{}, false
	}
	return FingerprintFromBytes(b)
}

// FingerprintFromBytes returns the fingerprint with the given bytes. It returns
// false if their number is wrong.
func FingerprintFromBytes(b []byte) (Fingerprint, bool) {
	var f Fingerprint
	if len(b) != len(f) {
		return f, false
	}
	copy(f[:], b)
	return f, true
}

// Hash returns a shorter identification of the fingerprint.
func (f Fingerprint) Hash() uint64 {
	return binary.BigEndian.Uint64(f[:])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}
