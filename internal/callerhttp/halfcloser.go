package callerhttp

// halfCloser is a connection whose sending side can be closed alone.
type halfCloser interface {
	CloseWrite() error
}
