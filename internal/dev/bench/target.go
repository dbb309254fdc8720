package bench

// target is where a request may be sent.
type target struct {
	address string
	// service and shard are set when the target is a server.
	service string
	shard   string
}
