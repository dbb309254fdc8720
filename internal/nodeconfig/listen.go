package nodeconfig

// Listen holds the addresses that the process listens on, as host:port.
type Listen struct {
	Callers   string
	Peers     string
	Operators string
}
