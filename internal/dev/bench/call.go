package bench

// call is one generated request. A write is not idempotent.
type call struct {
	service string
	key     string
	write   bool
}
