package httpbackend

// LoadReply is the answer of the load endpoint.
type LoadReply struct {
	Utilization float64 `json:"utilization"`
	Running     int     `json:"running"`
}
