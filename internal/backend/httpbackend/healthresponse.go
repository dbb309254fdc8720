package httpbackend

// HealthResponse is the JSON body of the response of the health endpoint.
type HealthResponse struct {
	Accepting   bool   `json:"accepting"`
	Leaving     bool   `json:"leaving"`
	Incarnation string `json:"incarnation"`
}
