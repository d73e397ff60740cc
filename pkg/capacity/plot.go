package capacity

import (
	"fmt"
	"math"
	"strings"
)

// Dimensions of the plot in pixels, and the number of fleet sizes that it shows.
const (
	plotWidth, plotHeight = 720, 300
	plotLeft, plotBottom  = 70, 40
	plotSteps             = 33
)

// curve is one value over the fleet size, with its limit.
type curve struct {
	name, unit, colour string
	limit              float64
	value              func(Cost) float64
}

// formatPlot returns an SVG plot of store calls, control bytes and memory over the fleet size, each
// in a panel with its limit.
func (m Model) formatPlot() string {
	curves := []curve{
		{"store writes a second", "/s", "#b03030", maxWriteRate, func(c Cost) float64 { return c.WriteRate }},
		{"store reads and watches a second", "/s", "#3050b0", maxReadRate, func(c Cost) float64 { return c.ReadRate + c.WatchRate }},
		{"control bytes a second of a node", "KB/s", "#308030", maxByteRate / 1e3,
			func(c Cost) float64 { return (c.PeerByteRate + c.StoreByteRate) / 1e3 }},
		{"control memory of a node", "MB", "#806020", maxMemoryBytes / 1e6, func(c Cost) float64 { return c.MemoryBytes / 1e6 }},
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		plotWidth, plotHeight*len(curves))
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/>`+"\n")
	for i, s := range curves {
		m.writePanel(&b, s, float64(i*plotHeight))
	}
	b.WriteString("</svg>\n")
	return b.String()
}

// writePanel writes the panel of one curve; top is its upper edge in pixels.
func (m Model) writePanel(b *strings.Builder, s curve, top float64) {
	var xs, ys []float64
	highest := s.limit
	for step := 1; step <= plotSteps; step++ {
		n := float64(step) * targetInstances / plotSteps
		y := s.value(Total(m.Roles(n)))
		xs, ys = append(xs, n), append(ys, y)
		highest = math.Max(highest, y)
	}
	x := func(n float64) float64 { return plotLeft + n/targetInstances*(plotWidth-plotLeft-20) }
	y := func(v float64) float64 { return top + plotHeight - plotBottom - v/highest*(plotHeight-plotBottom-40) }
	fmt.Fprintf(b, `<text x="%d" y="%.0f">%s</text>`+"\n", plotLeft, top+20, s.name)
	var points []string
	for i := range xs {
		points = append(points, fmt.Sprintf("%.1f,%.1f", x(xs[i]), y(ys[i])))
	}
	fmt.Fprintf(b, `<polyline fill="none" stroke="%s" stroke-width="2" points="%s"/>`+"\n", s.colour, strings.Join(points, " "))
	fmt.Fprintf(b, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#888" stroke-dasharray="5 4"/>`+"\n",
		plotLeft, plotWidth-20, y(s.limit), y(s.limit))
	fmt.Fprintf(b, `<text x="%d" y="%.1f" fill="#555">limit %.0f %s</text>`+"\n", plotWidth-150, y(s.limit)-4, s.limit, s.unit)
	fmt.Fprintf(b, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="black"/>`+"\n", plotLeft, plotWidth-20, y(0), y(0))
	for _, n := range []float64{9, 100, 200, targetInstances} {
		fmt.Fprintf(b, `<text x="%.1f" y="%.1f" text-anchor="middle">%.0f nodes</text>`+"\n", x(n), y(0)+16, n)
	}
	fmt.Fprintf(b, `<text x="%d" y="%.1f" text-anchor="end">%.0f</text>`+"\n", plotLeft-6, y(highest)+4, highest)
}
