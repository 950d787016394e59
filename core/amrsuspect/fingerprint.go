// Package amrsuspect keeps a request that crashes the backend server which
// runs it from doing so again and again.
//
// Each request that was running when a backend server crashed gets a strike.
// A struck request runs only after a conditional write in the platform's
// table, one run at a time in the whole fleet and beside no other struck
// request, so that a second crash is its own. A run that ends well clears it;
// a second strike quarantines it until an operator lifts the quarantine.
package amrsuspect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// Fingerprint identifies what a team asked, whatever request brings it.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a team's request, given in parts.
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

// Parse returns the fingerprint that String wrote.
func Parse(s string) (Fingerprint, bool) {
	b, err := hex.DecodeString(s)
	if err != nil {
		return Fingerprint{}, false
	}
	return FromBytes(b)
}

// FromBytes returns the fingerprint that a message carries.
func FromBytes(b []byte) (Fingerprint, bool) {
	var f Fingerprint
	if len(b) != len(f) {
		return f, false
	}
	copy(f[:], b)
	return f, true
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}
