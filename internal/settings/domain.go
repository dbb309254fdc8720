package settings

// Domain is a failure domain.
type Domain struct {
	Name   string
	Region string
	// OutOfService is true if the failure domain gets no new requests.
	OutOfService bool
}
