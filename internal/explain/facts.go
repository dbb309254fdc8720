package explain

// Facts tells how old the facts of an instance are.
type Facts struct {
	// Known is set once the store has been read.
	Known bool  `json:"known"`
	AgeMS int64 `json:"age_ms"`
	// TooOld is set if a request would first read the store or ask the server.
	TooOld bool `json:"too_old"`
}
