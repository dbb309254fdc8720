package forward

// Options are the parts that a Forwarder works with.
type Options struct {
	Services     Services
	Holders      Holders
	HolderClient HolderClient
	Observer     Observer
	// Limit is how many requests may be in flight through this instance.
	Limit int64
}
