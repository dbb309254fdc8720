package callerhttp

// lingerSetter is a connection that can be reset when it is closed.
type lingerSetter interface {
	SetLinger(seconds int) error
}
