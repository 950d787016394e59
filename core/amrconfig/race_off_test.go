//go:build !race

package amrconfig_test

// raceDetector reports whether the test binary was built with the race
// detector.
const raceDetector = false
