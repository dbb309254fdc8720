package entrynode

import "time"

const (
	// logLinesPerSecond limits the log lines of each event. It is more than twice the
	// calls that an instance handled in the busiest second of the deployments in
	// docs/measurements.md.
	logLinesPerSecond = 200
	// maxReadinessDelay is how long an instance waits for complete data after its start.
	// After that it reports ready as soon as it has a configuration.
	maxReadinessDelay = 6 * time.Second
	// drainNotice is how long a stopping instance keeps accepting connections. The
	// load balancer probes readiness once a second and removes an instance after two
	// failed probes.
	drainNotice = 3 * time.Second
	// drainPollInterval is how often a stopping instance checks whether connections remain.
	drainPollInterval = 100 * time.Millisecond
	// exitReserve is the part of the grace period that is left to abort calls and to exit.
	exitReserve = 300 * time.Millisecond
	// abortTimeout is how long the replies to aborted calls may take.
	abortTimeout = 100 * time.Millisecond
	// abortPollInterval is how often a stopping instance checks for these replies.
	abortPollInterval = 10 * time.Millisecond
	// handOverReserve is how long before the end of draining an instance stops being a
	// candidate, and may hand over if it is the holder. When a whole fleet restarts within
	// seconds, its strong machines are back within it.
	handOverReserve = 2 * time.Second
	// electorReserve is how long before the end of draining the elector ends. Together
	// with exitReserve it suffices for a slow call to the store: a holder that could not
	// hand over deletes its key.
	electorReserve = 600 * time.Millisecond
	// replyReserve is the part of the drain time that is left to write the last replies.
	replyReserve = 200 * time.Millisecond
	// headerReadTimeout limits reading the headers of a readiness or metrics request.
	headerReadTimeout = 2 * time.Second
	// pageWriteTimeout limits writing a readiness or metrics response, and pageIdleTimeout the
	// wait for the next request on a connection. Probes come once a second.
	pageWriteTimeout = 5 * time.Second
	pageIdleTimeout  = 10 * time.Second
	// pageHeaderBytes limits the headers of these requests.
	pageHeaderBytes = 8 << 10
)
