package instances

// Instance is an entry of the platform's list.
type Instance struct {
	Name string
	// Address is host:port of the instance's peer endpoint.
	Address string
	Domain  string
	State   State
}
