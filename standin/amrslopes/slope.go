// Package amrslopes measures how the memory, time and traffic that the parts of
// the system need grow with its size, for capacity planning. It runs the
// production packages, one at a time.
package amrslopes

import (
	"math"
)

// Slope describes how a cost grows with a size, as a straight line fitted to
// measured points.
type Slope struct {
	Name          string  `json:"name"`
	Role          string  `json:"role"`
	Unit          string  `json:"unit"` // Unit is the unit of the cost.
	Per           string  `json:"per"`  // Per names one unit of the size, such as a record.
	Points        []Point `json:"points"`
	Slope         float64 `json:"slope"`     // Slope is the cost of one Per, in Unit.
	Intercept     float64 `json:"intercept"` // Intercept is the cost at size 0, in Unit.
	StandardError float64 `json:"residual"`  // StandardError is the standard error of the fit, in Unit.
	// RSquared is the fraction of the variance of the cost that the line
	// explains.
	RSquared float64 `json:"r-squared"`
}

// Point is the measured cost at one size.
type Point struct {
	Size int     `json:"size"`
	Cost float64 `json:"cost"`
}

// At returns the cost that the fitted line predicts for the size.
func (s Slope) At(size float64) float64 {
	return s.Intercept + s.Slope*size
}

// fit returns s with the least-squares line through its points. With fewer than
// two distinct sizes, the slope is 0. The standard error is 0 with fewer than
// three points.
func (s Slope) fit() Slope {
	n := float64(len(s.Points))
	var sumX, sumY float64
	for _, p := range s.Points {
		sumX += float64(p.Size)
		sumY += p.Cost
	}
	meanX, meanY := sumX/n, sumY/n
	var xx, xy, yy float64
	for _, p := range s.Points {
		dx, dy := float64(p.Size)-meanX, p.Cost-meanY
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	if xx > 0 {
		s.Slope = xy / xx
	}
	s.Intercept = meanY - s.Slope*meanX
	var residualSquares float64
	for _, p := range s.Points {
		d := p.Cost - s.At(float64(p.Size))
		residualSquares += d * d
	}
	if n > 2 {
		s.StandardError = math.Sqrt(residualSquares / (n - 2))
	}
	if yy > 0 {
		s.RSquared = 1 - residualSquares/yy
	}
	return s
}
