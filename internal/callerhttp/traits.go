package callerhttp

// Traits say how a request may share its connection with others.
type Traits struct {
	// Concurrent is set if the request may run at the same time as earlier ones.
	Concurrent bool
	// MayStream is set if its response may be so long that it is passed on before it has been
	// received. If such a response breaks off, nothing behind it can be answered, so that
	// requests behind it run only once that cannot happen any more.
	MayStream bool
}
