package nodeconfig

// Listen has the addresses on which the process listens, as host:port.
type Listen struct {
	Callers   string
	Peers     string
	Operators string
}
