package authority

// TenureSource publishes the tenure of one shard.
type TenureSource interface {
	// Tenure returns the latest tenure, or nil if this instance does not hold
	// the shard. The caller checks Tenure.ValidAt before each order.
	Tenure() *Tenure
	// Changed receives a value after the token, the mirrors or the presence of
	// the tenure has changed. Extensions of the end alone are not signalled.
	Changed() <-chan struct{}
}
