package fleet

// Life is one run of a backend server's process. A server that starts again
// under its name is another life, which knows nothing of the one before.
type Life struct {
	Name string
	// Born is the Unix time of the start in milliseconds, or 0 when the server does not say.
	Born int64
}
