package amrsidecar

import (
	"time"

	"amaranthreach.example/core/amrsettings"
)

// Settings holds the settings of a sidecar.
type Settings struct {
	Name             string          `yaml:"name"` // Name of the backend server in its record.
	AvailabilityZone string          `yaml:"availability-zone"`
	GateAddress      string          `yaml:"gate-address"`    // Address that routers connect to.
	MetricsAddress   string          `yaml:"metrics-address"` // Address of /metrics, /healthz and /readyz.
	BackendURL       string          `yaml:"backend-url"`     // Base URL of the backend server.
	BackendType      BackendType     `yaml:"backend-type"`
	PlatformURL      string          `yaml:"platform-url"`
	GateTLS          amrsettings.TLS `yaml:"gate-tls"`
	StopGrace        time.Duration   `yaml:"stop-grace"` // Maximum time that a stopping sidecar waits for requests in progress.
}

// BackendType is the type of a backend server.
type BackendType string

// The types of backend servers.
const (
	// BackendEngine is a model engine, which reports its status and cache.
	BackendEngine BackendType = "engine"

	// BackendService is a plain HTTP service.
	BackendService BackendType = "service"
)

// DefaultSettings returns the settings for keys that the file does not set.
func DefaultSettings() Settings {
	return Settings{
		BackendType: BackendEngine,
		StopGrace:   time.Minute,
	}
}

// Check returns an error for the first setting that is not valid, or nil.
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
		return &amrsettings.FieldError{Field: "backend-type", Message: "must be a known backend type", Remedy: "set it to engine or service"}
	}
	if s.StopGrace <= 0 {
		return &amrsettings.FieldError{Field: "stop-grace", Message: "must be a positive duration", Remedy: "set it to a duration above 0, such as 1m"}
	}
	return s.GateTLS.Check("gate-tls", true)
}
