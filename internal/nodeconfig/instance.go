package nodeconfig

// Instance says which instance the process is.
type Instance struct {
	Name   string
	Domain string // failure domain
	Region string
}
