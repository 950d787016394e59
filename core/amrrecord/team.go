package amrrecord

import (
	"crypto/sha256"
	"encoding/hex"
)

type teamSchema struct{}

type teamWire struct {
	KeySHA256         []string `json:"key-sha256,omitempty" yaml:"key-sha256,omitempty"`
	Weight            int      `json:"weight,omitempty" yaml:"weight,omitempty"`
	Priority          int      `json:"priority,omitempty" yaml:"priority,omitempty"`
	RequestsPerSecond float64  `json:"requests-per-second,omitempty" yaml:"requests-per-second,omitempty"`
	TokensPerSecond   float64  `json:"tokens-per-second,omitempty" yaml:"tokens-per-second,omitempty"`
	Concurrency       int      `json:"concurrency,omitempty" yaml:"concurrency,omitempty"`
	Operator          bool     `json:"operator,omitempty" yaml:"operator,omitempty"`
}

func (teamSchema) newWireSpec() wireSpec { return &teamWire{} }

func (teamSchema) fromSpec(s Spec) (wireSpec, error) {
	w := teamWire(s.(Team))
	return &w, nil
}

func (w *teamWire) spec() Spec { return Team(*w) }

const (
	maxTeamWeight   = 1000
	maxTeamPriority = 1000
	sha256HexLength = 64 // Hex digits of a SHA-256 digest.
)

func (t Team) problems() []problem {
	var p problems
	for _, key := range t.KeySHA256 {
		p.require(isHex(key, sha256HexLength), "key-sha256", "%q is no SHA-256 digest; write the 64 lower-case hex digits that sha256sum prints for the key", key)
	}
	p.requireRange("weight", t.Weight, 0, maxTeamWeight)
	p.requireRange("priority", t.Priority, -maxTeamPriority, maxTeamPriority)
	p.require(t.RequestsPerSecond >= 0, "requests-per-second", "%v is negative; write 0 for no limit", t.RequestsPerSecond)
	p.require(t.TokensPerSecond >= 0, "tokens-per-second", "%v is negative; write 0 for no limit", t.TokensPerSecond)
	p.require(t.Concurrency >= 0, "concurrency", "%d is negative; write 0 for no limit", t.Concurrency)
	return p
}

func isHex(s string, length int) bool {
	if len(s) != length {
		return false
	}
	for _, c := range s {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// KeyDigest returns the lower-case hex SHA-256 digest of an API key, as listed
// in Team.KeySHA256.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
