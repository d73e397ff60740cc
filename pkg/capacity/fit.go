// Package capacity measures the cost of the roles of an instance on this machine, as lines over
// sizes, and extrapolates them to the fleet size that the design is made for. Command capacity
// rewrites the tables of docs/CAPACITY.md, so that the page cannot drift from the code.
package capacity

import "math"

// Line is a straight line fitted to measurements.
type Line struct {
	// Base is its value at 0; Slope is its rise for each unit.
	Base, Slope float64
	// Residual is the root mean square of the distances of the measurements from the line, as a
	// fraction of their mean.
	Residual float64
	// From and To bound the measured range.
	From, To float64
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }

// fit returns the least-squares line through the points. There must be at least two.
func fit(xs, ys []float64) Line {
	n := float64(len(xs))
	var sumX, sumY, sumXX, sumXY float64
	for i, x := range xs {
		sumX += x
		sumY += ys[i]
		sumXX += x * x
		sumXY += x * ys[i]
	}
	slope := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	line := Line{Base: (sumY - slope*sumX) / n, Slope: slope, From: xs[0], To: xs[len(xs)-1]}
	var squares float64
	for i, x := range xs {
		distance := ys[i] - line.At(x)
		squares += distance * distance
	}
	line.Residual = math.Sqrt(squares/n) / math.Max(math.Abs(sumY/n), 1e-12)
	return line
}
