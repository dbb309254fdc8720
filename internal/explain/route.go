package explain

// Route is the route of a request.
type Route struct {
	Name           string `json:"name"`
	Kind           string `json:"kind"`
	MaxAttempts    int    `json:"max_attempts"`
	AllowAnonymous bool   `json:"allow_anonymous"`
}
