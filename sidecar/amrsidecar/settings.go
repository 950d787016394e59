package amrsidecar

import (
	"time"

	"amaranthreach.example/core/amrsettings"
)

// Settings configure a sidecar.
type Settings struct {
	Name             string          `yaml:"name"` // Of the backend server, as in its record.
	AvailabilityZone string          `yaml:"availability-zone"`
	GateAddress      string          `yaml:"gate-address"`    // Where routers reach the sidecar.
	MetricsAddress   string          `yaml:"metrics-address"` // Serves metrics, healthz and readyz.
	BackendURL       string          `yaml:"backend-url"`     // Of the backend server.
	BackendType      BackendType     `yaml:"backend-type"`
	PlatformURL      string          `yaml:"platform-url"`
	GateTLS          amrsettings.TLS `yaml:"gate-tls"`
	StopGrace        time.Duration   `yaml:"stop-grace"` // Longest time a stop waits for requests in progress.
}

// BackendType says what the sidecar stands beside.
type BackendType string

// The types of backend servers.
const (
	BackendEngine  BackendType = "engine"
	BackendService BackendType = "service"
)

// DefaultSettings returns the settings that hold where a file is silent.
func DefaultSettings() Settings {
	return Settings{
		BackendType: BackendEngine,
		StopGrace:   time.Minute,
	}
}

// Check returns the first broken rule.
func (s *Settings) Check() error {
	if err := amrsettings.CheckName("name", s.Name); err != nil {
		return err
	}
	if err := amrsettings.CheckName("availability-zone", s.AvailabilityZone); err != nil {
		return err
	}
	if err := amrsettings.CheckAddress("gate-address", s.GateAddress); err != nil {
		return err
	}
	if err := amrsettings.CheckAddress("metrics-address", s.MetricsAddress); err != nil {
		return err
	}
	if err := amrsettings.CheckURL("backend-url", s.BackendURL); err != nil {
		return err
	}
	if err := amrsettings.CheckURL("platform-url", s.PlatformURL); err != nil {
		return err
	}
	if s.BackendType != BackendEngine && s.BackendType != BackendService {
		return &amrsettings.FieldError{Field: "backend-type", Message: "unknown type", Remedy: "write engine or service"}
	}
	if s.StopGrace <= 0 {
		return &amrsettings.FieldError{Field: "stop-grace", Message: "must be above zero", Remedy: "write a time such as 1m"}
	}
	return s.GateTLS.Check("gate-tls", true)
}
