package shard

// ServerStatus is the part of a Status for one server, ordered as in the settings.
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
