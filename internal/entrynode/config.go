package entrynode

import "time"

// Config holds the settings of one instance, from its INI file.
type Config struct {
	// Name, Domain and FirstStart are of section [instance].
	Name   string
	Domain string
	// FirstStart is set when the whole fleet starts for the first time.
	FirstStart bool
	// ProcessorShare is the part of a processor that the machine gives, from section
	// [instance]; machines with more of it become the holder first.
	ProcessorShare float64
	// CallerAddress, Ready, Peers and Metrics are addresses of section [listen].
	CallerAddress    string
	ReadinessAddress string
	PeerAddress      string
	MetricsAddress   string
	// StoreAddress is the address of the platform's store, of section [store].
	StoreAddress string
	// The rest is of section [bounds].
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// RetryRatio, RetryExtra and RetryWindow bound the retries for a service, of all instances together.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
}
