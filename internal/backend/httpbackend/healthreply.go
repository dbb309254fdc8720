package httpbackend

// HealthReply is the answer of the health endpoint.
type HealthReply struct {
	Accepting   bool   `json:"accepting"`
	Leaving     bool   `json:"leaving"`
	Incarnation string `json:"incarnation"`
}
