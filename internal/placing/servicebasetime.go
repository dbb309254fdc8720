package placing

// slowdownWeight is the weight of the newest reported slowdown in the average of a service.
const slowdownWeight = 0.005

// serviceBaseTime estimates the service time of the average server of a service, apart from
// momentary slowdowns, and the average slowdown.
type serviceBaseTime struct {
	baseTime
	// slowdown is the average reported slowdown, or 0 before the first report.
	slowdown float64
}

// observeSlowdown adds a reported slowdown.
func (b *serviceBaseTime) observeSlowdown(slowdown float64) {
	if b.slowdown == 0 {
		b.slowdown = slowdown
		return
	}
	b.slowdown += slowdownWeight * (slowdown - b.slowdown)
}

// averageSlowdown returns the average slowdown, or 1 if servers report none.
func (b *serviceBaseTime) averageSlowdown() float64 {
	if b.slowdown == 0 {
		return 1
	}
	return b.slowdown
}
