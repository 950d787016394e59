//go:build race

package amrconfig_test

// raceDetector is true in a build with the race detector.
const raceDetector = true
