package httpbackend

// LoadResponse is the answer of the load endpoint.
type LoadResponse struct {
	Utilization float64 `json:"utilization"`
	Running     int     `json:"running"`
}
