package nodeconfig

// Platform has the base URLs of the platform's services.
type Platform struct {
	Store     string
	Instances string
}
