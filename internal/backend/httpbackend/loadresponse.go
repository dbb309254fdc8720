package httpbackend

// LoadResponse is the JSON body of the response of the load endpoint.
type LoadResponse struct {
	Utilization float64 `json:"utilization"`
	Running     int     `json:"running"`
}
