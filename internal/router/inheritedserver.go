package router

// inheritedServer is the state of one backend server as reported by the previous holder.
type inheritedServer struct {
	// slots is the number of slots that requests of the previous holder still use.
	slots int
	// warm reports that the server needs no slow start.
	warm bool
}
