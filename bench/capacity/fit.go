package main

import (
	"fmt"
	"math"
	"slices"
)

// linearFit is a least-squares line through the added points.
type linearFit struct {
	n, x, y, xx, xy float64
}

func (f *linearFit) add(x, y float64) {
	f.n++
	f.x += x
	f.y += y
	f.xx += x * x
	f.xy += x * y
}

// solve returns the slope and the intercept.
func (f *linearFit) solve() (slope, intercept float64) {
	slope = (f.n*f.xy - f.x*f.y) / (f.n*f.xx - f.x*f.x)
	return slope, (f.y - slope*f.x) / f.n
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// formatNumber formats a value with three significant digits.
func formatNumber(v float64) string {
	if math.Abs(v) >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
