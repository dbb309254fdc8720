package forward

// Options are the parts that a Forwarder works with.
type Options struct {
	Services     Services
	Holders      Holders
	HolderClient HolderClient
	Observer     Observer
	// MaxInFlight is how many requests may be in flight through this instance.
	MaxInFlight int64
}
