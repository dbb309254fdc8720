package router

// ServerStatus is the state of one backend server as seen by the holder of the shard.
type ServerStatus struct {
	Server string `json:"server"`
	Domain string `json:"domain"`
	Ranges int    `json:"ranges"`
	// Running and Waiting are numbers of requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// LatencyMS is the moving average of the server's latency in milliseconds.
	LatencyMS float64 `json:"latency_ms"`
}
