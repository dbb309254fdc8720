package backhttp

// lingerSetter is a connection whose close can be made one in order, or a reset.
type lingerSetter interface {
	SetLinger(seconds int) error
}
