package bounds

// Class is a kind of request.
type Class struct {
	Name string
	// PerSecond is the mean rate of requests, and Work the time in seconds for which one
	// keeps a slot of a server of mean speed.
	PerSecond, Work float64
	// RequestBytes and ResponseBytes are mean sizes of bodies.
	RequestBytes, ResponseBytes float64
}

// Bytes returns the bytes/s between instances and servers, each message with a head of the
// given size.
func (c Class) Bytes(head float64) float64 {
	return c.PerSecond * (c.RequestBytes + c.ResponseBytes + 2*head)
}
