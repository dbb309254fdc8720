package router

// inheritedServer is the part of a hand-over about one backend server.
type inheritedServer struct {
	// slots is how many slots requests of the last holder still use.
	slots int
	warm  bool
}
