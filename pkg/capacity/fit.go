// Package capacity measures what the roles of an instance cost on this machine,
// as slopes, and works out from them what they cost at the size that decides the
// design. Its command rewrites the tables of docs/CAPACITY.md, so that the page
// cannot drift from the code.
package capacity

import "math"

// Line is a straight line fitted to measurements.
type Line struct {
	// Base and Slope are its value at 0 and its rise for each unit.
	Base, Slope float64
	// Residual is the root of the mean squared distance of the measurements from
	// the line, as a part of their mean.
	Residual float64
	// From and To are the range that was measured.
	From, To float64
}

// At returns the line's value.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }

// fit lays the line of least squares through points; there must be two or more.
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
