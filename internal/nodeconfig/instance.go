package nodeconfig

// Instance identifies the instance that the process runs.
type Instance struct {
	Name   string
	Domain string // failure domain
	Region string
}
