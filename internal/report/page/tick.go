package page

import "fmt"

// tick is one labelled position of an axis.
type tick struct {
	At    float64
	Label string
}

// valueTicks returns the labelled values of an axis from 0 to top.
func valueTicks(top float64, unit string) []tick {
	const steps = 4
	var ticks []tick
	for n := range steps + 1 {
		value := top * float64(n) / steps
		ticks = append(ticks, tick{At: y(value, top), Label: fmt.Sprintf("%.4g%s", value, unit)})
	}
	return ticks
}
