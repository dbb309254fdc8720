package settings

// Domain is one failure domain.
type Domain struct {
	Name   string
	Region string
	// OutOfService says that the failure domain gets no new work.
	OutOfService bool
}
