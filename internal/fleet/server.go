package fleet

import "time"

// Server is the entry of one backend server in the platform's list.
type Server struct {
	Incarnation
	Service string
	Address Address
	Domain  string
	// Slots is 1 to MaxSlots; see Service.UsableSlots.
	Slots int
	// Leaving servers get no new work.
	Leaving bool
	// ColdUntil is when the server stops being cold, on the clock of the process that read the list.
	ColdUntil time.Time
}

// Cold reports whether the server is still warming up at the given time and can
// sustain only little load.
func (s *Server) Cold(now time.Time) bool {
	return now.Before(s.ColdUntil)
}
