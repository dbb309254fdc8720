package fleet

import "time"

// Server is what the platform's list says of one backend server.
type Server struct {
	Incarnation
	Service string
	// Address is host and port of the server.
	Address string
	Domain  string
	Slots   int
	// Leaving servers get no new work.
	Leaving bool
	// ColdUntil is when the server stops being cold, on the clock of the reader of the list.
	ColdUntil time.Time
}

// Cold reports whether the server bears only little load at now.
func (s *Server) Cold(now time.Time) bool {
	return now.Before(s.ColdUntil)
}
