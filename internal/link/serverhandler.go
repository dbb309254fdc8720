package link

// ServerHandler handles the links and questions of other instances.
type ServerHandler interface {
	Handler
	// Holder returns the identity of the holder as in its key, or nil if none is known.
	Holder() []byte
}
