package forward

// Services tells how many shards a service has.
type Services interface {
	// Shards returns the number of shards of service, and false when the service
	// is not in the settings tree or is out.
	Shards(service string) (int, bool)
}
