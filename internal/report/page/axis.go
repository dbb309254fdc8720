package page

import (
	"math"
	"time"
)

// Size of the plots in SVG units.
const (
	plotWidth  = 840.0
	plotHeight = 180.0
	plotLeft   = 110.0 // room for labels of about 16 characters
	plotTop    = 10.0
)

// timeAxis maps times to horizontal positions in a plot.
type timeAxis struct {
	from, until time.Time
}

func (a timeAxis) x(at time.Time) float64 {
	if !a.until.After(a.from) {
		return plotLeft
	}
	return round(plotLeft + plotWidth*float64(at.Sub(a.from))/float64(a.until.Sub(a.from)))
}

// ticks returns six labelled times.
func (a timeAxis) ticks() []tick {
	const steps = 5
	layout := "15:04:05"
	if a.until.Sub(a.from) > 24*time.Hour {
		layout = "01-02 15:04"
	}
	var ticks []tick
	for n := range steps + 1 {
		at := a.from.Add(a.until.Sub(a.from) * time.Duration(n) / steps)
		ticks = append(ticks, tick{At: a.x(at), Label: at.UTC().Format(layout)})
	}
	return ticks
}

// y maps a value to a vertical position in a plot.
func y(value, top float64) float64 {
	if top <= 0 {
		return plotTop + plotHeight
	}
	return round(plotTop + plotHeight*(1-value/top))
}

// axisMaximum returns the smallest of 1, 2, 4, 6, 8 or 10 times a power of ten that is at
// least value.
func axisMaximum(value float64) float64 {
	if value <= 0 {
		return 1
	}
	power := math.Pow(10, math.Floor(math.Log10(value)))
	for _, factor := range []float64{1, 2, 4, 6, 8, 10} {
		if value <= factor*power {
			return factor * power
		}
	}
	return 10 * power
}

// round shortens coordinates to one decimal place.
func round(value float64) float64 {
	return math.Round(value*10) / 10
}
