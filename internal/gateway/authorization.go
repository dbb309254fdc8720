package gateway

import "peridotmoor.org/peridotmoor/internal/fleet"

// authorization is the result of the check of a call's credential. It is immutable.
type authorization struct {
	// config is the version of the configuration that the credential was checked against.
	config *fleet.Config
	team   *fleet.Team
	denial denial
}

// authorize checks the credential of a call by config, where route is that of the call or nil.
func authorize(config *fleet.Config, call *Call, route *fleet.Route) authorization {
	team, denial := authenticator{config}.authenticate(call.Credential, route)
	return authorization{config: config, team: team, denial: denial}
}

// reauthorize checks the credential of a call by another config. A call whose route is not in
// config is checked as one of the route that it has had.
func reauthorize(config *fleet.Config, call *Call) authorization {
	route := config.Match(call.Host, call.Path)
	if route == nil {
		route = call.Route
	}
	return authorize(config, call, route)
}

// sameSender reports whether a server is told the same about the sender of the call by both.
func (a authorization) sameSender(b authorization) bool {
	return a.denial == b.denial && a.teamName() == b.teamName() && (a.config.Teams == nil) == (b.config.Teams == nil)
}

// teamName returns the name of the team, or "" for an anonymous call.
func (a authorization) teamName() string {
	if a.team == nil {
		return ""
	}
	return a.team.Name
}

// setOn sets what a server is told of the sender of the call.
func (a authorization) setOn(call *Call) {
	call.Team, call.HidesCredential = a.team, a.config.Teams != nil
}
