package nodeconfig

// Records configures the event log, which peridotmoor-report reads.
type Records struct {
	// Path is the file of the event log; if empty, it is written to standard error.
	Path string
}
