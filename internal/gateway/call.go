package gateway

import (
	"net/http"
	"time"

	"peridotmoor.org/peridotmoor/internal/credential"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Call is one request of a caller. Only Timeout, Route, Team, HidesCredential, Body and Tried
// change while it is processed.
type Call struct {
	// ID is the request ID. It identifies this request of the caller.
	ID     string
	Method string
	// Target is the request target, path and query, as the caller sent it.
	Target string
	Host   string
	// Path is what routes are matched against, as fleet.RoutingPath returns it.
	Path   string
	Header http.Header
	// Key is placing.NoKey or the key of the request.
	Key int
	// Credential is what the caller shows to prove its team.
	Credential credential.Credential
	// Team is set when the credential has been checked; nil for an anonymous call.
	Team *fleet.Team
	// HidesCredential is set if the configuration has teams: a server is told the name of the
	// team, and not what the caller shows.
	HidesCredential bool
	// Caller identifies the sender of the request, to recognise repeated requests.
	Caller    string
	ArrivedAt time.Time
	// Timeout is how long the caller waits, or 0 if it states no timeout.
	Timeout time.Duration
	Body    *Body
	// Tried holds the server of each attempt that may have reached it.
	Tried []string
	// Route is set when the call has been matched to a route.
	Route *fleet.Route
}

// setDeadline sets the timeout of a caller that states none, and returns when the call, whose
// route is set, must be answered.
func (call *Call) setDeadline() time.Time {
	if call.Timeout <= 0 {
		call.Timeout = defaultCallTimeout
	}
	wait := call.Timeout - responseMargin
	if call.Route.Timeout > 0 {
		wait = min(wait, call.Route.Timeout)
	}
	return call.ArrivedAt.Add(wait)
}
