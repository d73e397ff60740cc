package capacity

import (
	"fmt"
	"math"
	"strings"
)

// Sizes of the plot in pixels.
const (
	plotWidth, plotHeight = 720, 300
	plotLeft, plotBottom  = 70, 40
	plotSteps             = 33
)

// series is one curve.
type series struct {
	name, unit, colour string
	limit              float64
	value              func(Cost) float64
}

// plot draws store calls, control bytes and memory over the fleet's size, each
// as a panel with its limit.
func (m Model) plot() string {
	curves := []series{
		{"store writes a second", "/s", "#b03030", limitWrites, func(c Cost) float64 { return c.Writes }},
		{"store reads and watches a second", "/s", "#3050b0", limitReads, func(c Cost) float64 { return c.Reads + c.Watches }},
		{"control bytes a second of a node", "KB/s", "#308030", limitBytes / 1e3,
			func(c Cost) float64 { return (c.PeerBytes + c.StoreBytes) / 1e3 }},
		{"control memory of a node", "MB", "#806020", limitMemory / 1e6, func(c Cost) float64 { return c.Memory / 1e6 }},
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		plotWidth, plotHeight*len(curves))
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/>`+"\n")
	for i, s := range curves {
		m.panel(&b, s, float64(i*plotHeight))
	}
	b.WriteString("</svg>\n")
	return b.String()
}

func (m Model) panel(b *strings.Builder, s series, top float64) {
	var xs, ys []float64
	highest := s.limit
	for step := 1; step <= plotSteps; step++ {
		n := float64(step) * targetNodes / plotSteps
		y := s.value(Total(m.Roles(n)))
		xs, ys = append(xs, n), append(ys, y)
		highest = math.Max(highest, y)
	}
	x := func(n float64) float64 { return plotLeft + n/targetNodes*(plotWidth-plotLeft-20) }
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
	for _, n := range []float64{9, 100, 200, targetNodes} {
		fmt.Fprintf(b, `<text x="%.1f" y="%.1f" text-anchor="middle">%.0f nodes</text>`+"\n", x(n), y(0)+16, n)
	}
	fmt.Fprintf(b, `<text x="%d" y="%.1f" text-anchor="end">%.0f</text>`+"\n", plotLeft-6, y(highest)+4, highest)
}
