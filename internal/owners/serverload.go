package owners

import "math"

// serverLoad is the load of one server while a plan is made.
type serverLoad struct {
	Candidate
	// rate is in requests/s.
	rate float64
	// expected is the rate that the server is about to have.
	expected float64
	keys     int
}

// utilization returns the average share of the server's capacity that is in use.
func (l *serverLoad) utilization() float64 {
	return l.rate / l.capacity()
}

// leastUtilization returns the utilization that is certain: the rate, an average over a second,
// differs by chance from what the server gets in the long run. A limit that a server names is
// kept to in each second, so that the rate itself counts.
func (l *serverLoad) leastUtilization() float64 {
	if l.Limit.Named {
		return l.utilization()
	}
	return (l.rate - rateNoise*math.Sqrt(l.rate)) / l.capacity()
}

// room returns the rate that the server can take up to the utilization.
func (l *serverLoad) room(utilization float64) float64 {
	return utilization*l.capacity() - max(l.rate, l.expected)
}

// capacity returns the highest rate, in requests/s, that the server can sustain and takes.
func (l *serverLoad) capacity() float64 {
	return l.Limit.Cap(float64(l.Slots) / l.ServiceTime)
}
