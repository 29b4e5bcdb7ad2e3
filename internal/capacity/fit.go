// Package capacity measures how state, traffic and processor time grow, and
// prints the tables of docs/CAPACITY.md. Run it with make capacity.
package capacity

import (
	"fmt"
	"math"
	"strings"
)

// Point is one measurement.
type Point struct {
	X, Y float64
}

// Line is a straight line through measurements, fitted by least squares.
type Line struct {
	Base, Slope float64
	// Residual is the largest distance of a measurement from the line, as a
	// share of the largest measurement.
	Residual float64
}

// Fit returns the line through points, of which there are at least two.
func Fit(points []Point) Line {
	n := float64(len(points))
	var sx, sy, sxx, sxy, top float64
	for _, p := range points {
		sx += p.X
		sy += p.Y
		sxx += p.X * p.X
		sxy += p.X * p.Y
		top = max(top, math.Abs(p.Y))
	}
	l := Line{}
	if d := n*sxx - sx*sx; d != 0 {
		l.Slope = (n*sxy - sx*sy) / d
	}
	l.Base = (sy - l.Slope*sx) / n
	for _, p := range points {
		l.Residual = max(l.Residual, math.Abs(p.Y-l.At(p.X))/max(top, math.SmallestNonzeroFloat64))
	}
	return l
}

// At returns the line's value.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }

// Row is one measured slope.
type Row struct {
	What string
	Unit string
	// Per is what X counts; Planned is X at the planned size.
	Per     string
	Planned float64
	Points  []Point
}

// Table gives rows as Markdown: the measurements, the fit, and the value at the
// planned size.
func Table(rows []Row) string {
	var b strings.Builder
	b.WriteString("| what | per | measured at | fit | residual | at the planned size |\n|---|---|---|---|---|---|\n")
	for _, r := range rows {
		l := Fit(r.Points)
		var at []string
		for _, p := range r.Points {
			at = append(at, fmt.Sprintf("%g: %s", p.X, number(p.Y)))
		}
		fmt.Fprintf(&b, "| %s (%s) | %s | %s | %s + %s x | %.0f%% | %g: **%s** |\n", r.What, r.Unit, r.Per,
			strings.Join(at, ", "), number(l.Base), number(l.Slope), 100*l.Residual, r.Planned, number(l.At(r.Planned)))
	}
	return b.String()
}

// number prints three significant digits without an exponent.
func number(x float64) string {
	switch a := math.Abs(x); {
	case a >= 100:
		return fmt.Sprintf("%.0f", x)
	case a >= 10:
		return fmt.Sprintf("%.1f", x)
	case a >= 0.01 || a == 0:
		return fmt.Sprintf("%.3f", x)
	}
	return fmt.Sprintf("%.6f", x)
}
