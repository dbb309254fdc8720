package usagecap

import "time"

// instanceUse is what the holder knows of the requests of one team at one instance.
type instanceUse struct {
	// current and previous count the requests of the current count period and the one before.
	current, previous float64
	// told is the allowance last told, at toldAt, and toldShare its part of the whole.
	told      Allowance
	toldAt    time.Time
	toldShare float64
}

func (u *instanceUse) requests() float64 {
	return u.current + u.previous
}

// held returns how many tokens the instance may have at now.
func (u *instanceUse) held(now time.Time) float64 {
	return min(u.told.Burst, u.told.Tokens+u.told.Rate*now.Sub(u.toldAt).Seconds())
}
