package amrsoak

import (
	_ "embed"

	"go.yaml.in/yaml/v3"
)

//go:embed regressions.yaml
var regressions []byte

// Regression is a seed whose soak test once failed.
type Regression struct {
	Seed       uint64 `yaml:"seed"`
	FaultKinds int    `yaml:"kinds"` // Number of kinds of faults that existed at that time.
	Cause      string `yaml:"cause"` // Cause of the failure.
}

// Regressions returns the seeds in regressions.yaml. It returns an error if the
// file cannot be decoded.
func Regressions() ([]Regression, error) {
	var known []Regression
	err := yaml.Unmarshal(regressions, &known)
	return known, err
}
