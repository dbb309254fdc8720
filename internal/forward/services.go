package forward

// Services looks up the number of shards of a service.
type Services interface {
	// ShardCount returns the number of shards of service, which is 0 while the service
	// is out of service, and false if it is not in the settings tree.
	ShardCount(service string) (int, bool)
}
