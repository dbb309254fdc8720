package shard

// ServerStatus is the status of one server. A Status has them in the order of the
// settings.
type ServerStatus struct {
	Name string
	// State is in, cold, leaving, out or lost.
	State string
	// Responsive reports whether the server acknowledged its last call.
	Responsive bool
	Ranges     int
	// RequestRate is the load of its ranges in requests per second.
	RequestRate float64
}
