package caller

// Instance is an entry instance as callers reach it.
type Instance struct {
	Name    string
	Domain  string
	Address string
	// Ready reports whether the load balancer has it in rotation.
	Ready func() bool
	// Process returns the number of the process that runs now.
	Process func() int
}
