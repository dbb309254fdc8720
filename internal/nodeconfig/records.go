package nodeconfig

// Records says where the process writes its event records for the report.
type Records struct {
	// Path is a file; empty stands for standard error.
	Path string
}
