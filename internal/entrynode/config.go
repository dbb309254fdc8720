package entrynode

import "time"

// Config holds the settings of one instance as read from its INI file.
type Config struct {
	// Name, Domain (the failure domain) and FirstStart are set in section [instance].
	Name   string
	Domain string
	// FirstStart is true when the fleet as a whole starts for the first time.
	FirstStart bool
	// ProcessorShare is the share of a processor that the machine provides, set in section
	// [instance]. Instances on machines with a larger share are preferred as the holder.
	ProcessorShare float64
	// Memory is the memory of the machine in bytes, set in section [instance].
	Memory int64
	// Descriptors is how many descriptors the process may open, set in section [instance], or
	// 0 for the limit of the process.
	Descriptors int
	// CallerAddress, ReadinessAddress, PeerAddress and MetricsAddress are the listen
	// addresses of section [listen].
	CallerAddress    string
	ReadinessAddress string
	PeerAddress      string
	MetricsAddress   string
	// StoreAddress is the address of the platform's store, set in section [store].
	StoreAddress string
	// The remaining fields are set in section [bounds].

	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod time.Duration
	// RetryRatio, RetryExtra and RetryWindow limit the retries of a service, summed
	// over all instances.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// DomainOutLimit is how long after the operators have taken a failure domain out its servers
	// may still get requests.
	DomainOutLimit time.Duration
	// HedgeShare limits the second attempts beside slow ones to this share of the requests of a
	// service, summed over all instances; 0 sends none.
	HedgeShare float64
}
