package placing

const (
	// baseTimeSamples is how many responses the base service time covers. The work of
	// requests varies by about its mean, so that fewer do not tell servers apart.
	baseTimeSamples = 300
	// baseTimePriorSamples is how many responses the average of the service counts for in
	// the estimate of one server, so that its first responses do not decide alone.
	baseTimePriorSamples = 15
)

// baseTime estimates the service time of a server in seconds, apart from momentary slowdowns
// and from waiting at the server.
type baseTime struct {
	seconds float64
	samples float64
}

// add adds one sample of normalizedTime.
func (b *baseTime) add(sample float64) {
	b.samples = min(b.samples+1, baseTimeSamples)
	b.seconds += (sample - b.seconds) / b.samples
}

// estimate returns the service time, where prior is what is assumed without responses, which
// counts for the given number of them.
func (b *baseTime) estimate(prior, priorSamples float64) float64 {
	return (b.seconds*b.samples + prior*priorSamples) / (b.samples + priorSamples)
}

// normalizedTime returns the service time without the slowdown, and without the wait for a
// slot, which by Little's law is in proportion to the requests beyond the slots.
func normalizedTime(seconds, slowdown float64, running, slots int) float64 {
	if slowdown > 0 {
		seconds /= slowdown
	}
	if running > slots && slots > 0 {
		seconds *= float64(slots) / float64(running)
	}
	return seconds
}
