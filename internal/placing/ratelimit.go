package placing

// rateLimit is the rate, in requests/s, at which a server may be given work, and why it
// is limited. All instances together must keep to it.
type rateLimit struct {
	perSecond float64
	reason    Reason
	// blocked is set while the server gets nothing, as another holder may use up its rate.
	blocked bool
}

// burst returns how many tokens the limit lets add up.
func (l rateLimit) burst() float64 {
	if l.reason == ReasonCold {
		return minRateBurst
	}
	return max(minRateBurst, l.perSecond*limitBurstTime.Seconds())
}
