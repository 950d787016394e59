package amrslopes

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// TestFit checks the fitted line, its standard error and its R² for points
// whose fit is known.
func TestFit(t *testing.T) {
	is := is.New(t)
	exact := Slope{Points: []Point{{1, 5}, {2, 7}, {4, 11}}}.fit()
	is.Equal(exact.Slope, 2.0)
	is.Equal(exact.Intercept, 3.0)
	is.True(exact.StandardError < 1e-9)
	is.Equal(exact.At(10), 23.0)

	scattered := Slope{Points: []Point{{0, 1}, {1, 0}, {2, 1}}}.fit()
	is.Equal(scattered.Slope, 0.0)
	is.True(math.Abs(scattered.StandardError-math.Sqrt(2.0/3)) < 1e-9)
	is.True(scattered.RSquared < 1e-9)
}

// TestMeasurementsHaveThreeSizes checks that every measurement has at least
// three sizes. The standard error of a fit is undefined for fewer points.
func TestMeasurementsHaveThreeSizes(t *testing.T) {
	for _, m := range measurements() {
		if len(m.sizes) < 3 {
			t.Errorf("%s is measured at %d sizes, want at least 3", m.name, len(m.sizes))
		}
	}
}
