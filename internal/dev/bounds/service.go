package bounds

// Service is a group of servers with the requests that go to it.
type Service struct {
	Name           string
	Servers, Slots int
	// MaxSpeed is the speed of the fastest servers, where the mean is 1.
	MaxSpeed float64
	Classes  []Class
}

// Utilization returns the share of all slots that the mean load keeps busy. Above 1, requests
// must be refused.
func (s Service) Utilization() float64 {
	busy := 0.0
	for _, c := range s.Classes {
		busy += c.PerSecond * c.Work
	}
	return busy / float64(s.Servers*s.Slots)
}

// MaxKeyRate returns the highest rate in requests/s of one key, whose owner is one server.
func (s Service) MaxKeyRate() float64 {
	rate, busy := 0.0, 0.0
	for _, c := range s.Classes {
		rate += c.PerSecond
		busy += c.PerSecond * c.Work
	}
	return float64(s.Slots) * s.MaxSpeed * rate / busy
}
