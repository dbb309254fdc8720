package gateway

import (
	"net/http"
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Call is one request of a caller. It is immutable but for Body.
type Call struct {
	// ID identifies this attempt of the caller.
	ID     string
	Method string
	// Target is path and query as the caller sent them.
	Target string
	Host   string
	Path   string
	Header http.Header
	// Key is placing.NoKey or the key of the request.
	Key int
	// Caller identifies who sent the request, for recognising repetitions.
	Caller    string
	ArrivedAt time.Time
	// Timeout is how long the caller waits, or 0 when it does not say.
	Timeout time.Duration
	Body    *Body
	// Route is set once the call is matched.
	Route *fleet.Route
}
