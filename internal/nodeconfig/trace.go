package nodeconfig

// Trace configures the export of spans. If both fields are empty, tracing is off.
type Trace struct {
	// Endpoint is the base URL of an OTLP collector.
	Endpoint string
	// Path is the file to which spans are appended.
	Path string
}
