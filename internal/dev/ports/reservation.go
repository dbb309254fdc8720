package ports

import "net"

// Reservation is a set of loopback addresses whose ports no other reservation on this
// machine contains until Release. Nothing listens on them.
type Reservation struct {
	// Addresses are host:port.
	Addresses []string
	// guards listen on the first port of each block of ports that this reservation takes
	// addresses from.
	guards []net.Listener
}

// Release ends the reservation. The end of the process does so too.
func (r *Reservation) Release() {
	for _, guard := range r.guards {
		_ = guard.Close()
	}
	r.guards = nil
}
