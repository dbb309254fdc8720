package nodeconfig

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Store     string
	Instances string
}
