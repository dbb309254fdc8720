package entrynode

import "time"

const (
	// logLinesPerSecond bounds the log lines of each event: more than twice the calls of
	// an instance at the busiest second of the deployments in docs/measurements.md.
	logLinesPerSecond = 200
	// maxReadinessDelay is the longest that an instance waits for complete facts before
	// it takes callers with what it has.
	maxReadinessDelay = 6 * time.Second
	// drainNotice is how long an instance that stops goes on taking new
	// connections: the balancer asks once a second and acts on two misses.
	drainNotice = 3 * time.Second
	// drainPollInterval is how often a stopping instance looks whether it is idle.
	drainPollInterval = 100 * time.Millisecond
	// exitReserve is kept from the grace time for the end of the process.
	exitReserve = 300 * time.Millisecond
	// refusalPeriod is how long before the end new requests are refused, so that
	// those under way get their answers.
	refusalPeriod = 1900 * time.Millisecond
	// headerReadTimeout bounds the headers of a request for metrics.
	headerReadTimeout = 2 * time.Second
)
