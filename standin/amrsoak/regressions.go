package amrsoak

import (
	_ "embed"

	"go.yaml.in/yaml/v3"
)

//go:embed regressions.yaml
var regressions []byte

// Regression is a seed that failed once.
type Regression struct {
	Seed  uint64 `yaml:"seed"`
	Kinds int    `yaml:"kinds"` // Of faults that there were then.
	Cause string `yaml:"cause"`
}

// Regressions returns the seeds that failed once.
func Regressions() ([]Regression, error) {
	var known []Regression
	err := yaml.Unmarshal(regressions, &known)
	return known, err
}
