package amrrouter

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"time"

	"amaranthreach.example/core/amrsettings"
)

// Settings are the settings of a router.
type Settings struct {
	Name             string          `yaml:"name"`
	AvailabilityZone string          `yaml:"availability-zone"`
	CallersAddress   string          `yaml:"callers-address"`   // For callers.
	OperatorsAddress string          `yaml:"operators-address"` // For operators, metrics, healthz and readyz.
	PeersAddress     string          `yaml:"peers-address"`     // For other routers, which find it in the host list; empty to serve none.
	PlatformURL      string          `yaml:"platform-url"`
	CallersTLS       amrsettings.TLS `yaml:"callers-tls"`
	OperatorsTLS     amrsettings.TLS `yaml:"operators-tls"`
	GateTLS          amrsettings.TLS `yaml:"gate-tls"`             // For connections to sidecars.
	PeersTLS         amrsettings.TLS `yaml:"peers-tls"`            // For connections between routers.
	OperatorKeys     []string        `yaml:"operator-keys-sha256"` // Hexadecimal SHA-256 digests of operator keys, for use before a record defines a team of operators.
	BodyBytes        int64           `yaml:"body-bytes"`           // Limit of the body of a caller's request.
	StopDelay        time.Duration   `yaml:"stop-delay"`           // Time between becoming unready and closing the socket for callers.
	StopGrace        time.Duration   `yaml:"stop-grace"`           // Longest time that a stop waits for requests in progress.
}

// DefaultSettings returns the values of settings that a file does not set.
func DefaultSettings() Settings {
	return Settings{
		BodyBytes: 8 << 20,
		StopDelay: 5 * time.Second,
		StopGrace: time.Minute,
	}
}

// Check returns an *amrsettings.FieldError for the first setting that is not
// valid, or nil.
func (s *Settings) Check() error {
	if err := amrsettings.CheckName("name", s.Name); err != nil {
		return err
	}
	if err := amrsettings.CheckName("availability-zone", s.AvailabilityZone); err != nil {
		return err
	}
	if err := amrsettings.CheckAddress("callers-address", s.CallersAddress); err != nil {
		return err
	}
	if err := amrsettings.CheckAddress("operators-address", s.OperatorsAddress); err != nil {
		return err
	}
	if err := s.checkPeers(); err != nil {
		return err
	}
	if err := amrsettings.CheckURL("platform-url", s.PlatformURL); err != nil {
		return err
	}
	if err := s.checkOperatorKeys(); err != nil {
		return err
	}
	if err := s.checkBounds(); err != nil {
		return err
	}
	if err := s.CallersTLS.Check("callers-tls", false); err != nil {
		return err
	}
	if err := s.OperatorsTLS.Check("operators-tls", false); err != nil {
		return err
	}
	return s.GateTLS.Check("gate-tls", true)
}

// checkPeers checks the settings for other routers.
func (s *Settings) checkPeers() error {
	if s.PeersAddress == "" {
		return nil
	}
	if err := amrsettings.CheckAddress("peers-address", s.PeersAddress); err != nil {
		return err
	}
	return s.PeersTLS.Check("peers-tls", true)
}

// checkOperatorKeys checks the digests of operator keys.
func (s *Settings) checkOperatorKeys() error {
	for i, key := range s.OperatorKeys {
		digest, err := hex.DecodeString(key)
		if err != nil || len(digest) != sha256.Size {
			return &amrsettings.FieldError{
				Field:   fmt.Sprintf("operator-keys-sha256.%d", i),
				Message: "must be a SHA-256 digest",
				Remedy:  "set it to the 64 hexadecimal digits that sha256sum prints for the key",
			}
		}
	}
	return nil
}

// checkBounds checks the settings that have a range.
func (s *Settings) checkBounds() error {
	if s.BodyBytes < 1<<10 || s.BodyBytes > 64<<20 {
		return &amrsettings.FieldError{Field: "body-bytes", Message: "must be between 1024 and 67108864", Remedy: "set it to a number of bytes in this range"}
	}
	if s.StopDelay < 0 || s.StopDelay > time.Minute {
		return &amrsettings.FieldError{Field: "stop-delay", Message: "must be between 0s and 1m", Remedy: "set it to a duration in this range, such as 5s"}
	}
	if s.StopGrace <= 0 {
		return &amrsettings.FieldError{Field: "stop-grace", Message: "must be a positive duration", Remedy: "set it to a duration above 0, such as 1m"}
	}
	return nil
}

// isOperatorKey reports whether the digest is that of an operator key. It takes the
// same time for every digest, so that its duration reveals nothing about the keys.
func (s *Settings) isOperatorKey(digest [sha256.Size]byte) bool {
	var found int
	for _, key := range s.OperatorKeys {
		known, err := hex.DecodeString(key)
		if err == nil {
			found |= subtle.ConstantTimeCompare(known, digest[:])
		}
	}
	return found == 1
}
