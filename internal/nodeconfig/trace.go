package nodeconfig

// Trace says where spans go. Both empty turns tracing off.
type Trace struct {
	// Endpoint is the base URL of an OTLP collector.
	Endpoint string
	// Path is a file that spans are appended to.
	Path string
}
