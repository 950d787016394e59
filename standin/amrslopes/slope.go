// Package amrslopes measures how the cost of each role grows with its size,
// for the capacity page. It runs the real slices, one at a time.
package amrslopes

import (
	"math"
)

// Slope is how a cost grows with a size: a straight line through points that
// were measured.
type Slope struct {
	Name      string  `json:"name"`
	Role      string  `json:"role"`
	Unit      string  `json:"unit"` // Of the cost.
	Per       string  `json:"per"`  // What the size counts.
	Points    []Point `json:"points"`
	Slope     float64 `json:"slope"`     // In Unit for each Per.
	Intercept float64 `json:"intercept"` // In Unit.
	Residual  float64 `json:"residual"`  // Standard error of the fit, in Unit.
	RSquared  float64 `json:"r-squared"`
}

// Point is one measurement.
type Point struct {
	Size int     `json:"size"`
	Cost float64 `json:"cost"`
}

// At returns the cost that the line gives for the size.
func (s Slope) At(size float64) float64 {
	return s.Intercept + s.Slope*size
}

// fit returns the slope with the least-squares line through its points. Fewer
// than two different sizes give a line without slope.
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
	var rest float64
	for _, p := range s.Points {
		d := p.Cost - s.At(float64(p.Size))
		rest += d * d
	}
	if n > 2 {
		s.Residual = math.Sqrt(rest / (n - 2))
	}
	if yy > 0 {
		s.RSquared = 1 - rest/yy
	}
	return s
}
