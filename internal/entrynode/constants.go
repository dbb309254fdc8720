package entrynode

import "time"

const (
	// linesPerSecond bounds the log lines of each event: more than twice the calls of
	// an instance at the busiest second of the deployments in docs/measurements.md.
	linesPerSecond = 200
	// readyAfter is the longest that an instance waits for complete facts before
	// it takes callers with what it has.
	readyAfter = 6 * time.Second
	// stopNotice is how long an instance that stops goes on taking new
	// connections: the balancer asks once a second and acts on two misses.
	stopNotice = 3 * time.Second
	// stopPoll is how often a stopping instance looks whether it is idle.
	stopPoll = 100 * time.Millisecond
	// stopReserve is kept from the grace time for the end of the process.
	stopReserve = 300 * time.Millisecond
	// stopRefuse is how long before the end new requests are refused, so that
	// those under way get their answers.
	stopRefuse = 1900 * time.Millisecond
	// metricsTimeout bounds the headers of a request for metrics.
	metricsTimeout = 2 * time.Second
)
