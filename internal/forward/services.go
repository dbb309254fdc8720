package forward

// Services tells how many shards a service has.
type Services interface {
	// ShardCount returns the number of shards of service, and false when the service
	// is not in the settings tree or is out.
	ShardCount(service string) (int, bool)
}
