package forward

// Options are the dependencies and limits of a Forwarder.
type Options struct {
	Services     Services
	Holders      Holders
	HolderClient HolderClient
	Observer     Observer
	// MaxInFlight is the limit of requests in flight through this instance.
	MaxInFlight int64
}
