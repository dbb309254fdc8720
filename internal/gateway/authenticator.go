package gateway

import (
	"peridotmoor.org/peridotmoor/internal/credential"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

// authenticator decides which team a call belongs to, by one version of the configuration.
type authenticator struct {
	config *fleet.Config
}

// authenticate returns the team that holds the credential, nil for an anonymous call, and
// the reason if the call is not authorized. route is that of the call, or nil: whether there
// is one is only told to callers that show no credential or a valid one.
func (a authenticator) authenticate(shown credential.Credential, route *fleet.Route) (*fleet.Team, denial) {
	switch {
	case a.config.Teams == nil:
		return nil, denialNone
	case shown.Malformed:
		return nil, denialMalformed
	case shown.Given:
		if team := a.config.Teams.ByKey(shown.Digest); team != nil {
			return team, denialNone
		}
		return nil, denialUnknown
	case route != nil && !route.AllowAnonymous:
		return nil, denialMissing
	}
	return nil, denialNone
}
