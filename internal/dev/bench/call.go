package bench

// call is one request of the load.
type call struct {
	service string
	key     string
	write   bool
}
