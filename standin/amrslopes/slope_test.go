package amrslopes

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// TestFit checks the line, its error and its share of the variance on points
// whose fit is known.
func TestFit(t *testing.T) {
	is := is.New(t)
	exact := Slope{Points: []Point{{1, 5}, {2, 7}, {4, 11}}}.fit()
	is.Equal(exact.Slope, 2.0)
	is.Equal(exact.Intercept, 3.0)
	is.True(exact.Residual < 1e-9)
	is.Equal(exact.At(10), 23.0)

	scattered := Slope{Points: []Point{{0, 1}, {1, 0}, {2, 1}}}.fit()
	is.Equal(scattered.Slope, 0.0)
	is.True(math.Abs(scattered.Residual-math.Sqrt(2.0/3)) < 1e-9)
	is.True(scattered.RSquared < 1e-9)
}

// TestMeasuresHaveThreeSizes checks that each fit has an error.
func TestMeasuresHaveThreeSizes(t *testing.T) {
	for _, m := range measures() {
		if len(m.sizes) < 3 {
			t.Errorf("%s is measured at %d sizes", m.name, len(m.sizes))
		}
	}
}
