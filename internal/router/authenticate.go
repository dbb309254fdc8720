package router

import (
	"peridotmoor.org/peridotmoor/internal/credential"
	"peridotmoor.org/peridotmoor/internal/entry"
	"peridotmoor.org/peridotmoor/internal/settings"
)

// authenticate decides who sends a request for the service, by one version of the settings.
// Whether the service exists is only told to callers that show no credential or a valid one.
func authenticate(tree *settings.Tree, shown credential.Credential, service string) entry.Sender {
	if !tree.HasTeams() {
		return entry.Sender{}
	}
	sender := entry.Sender{KeysRequired: true}
	_, exists := tree.Service(service)
	switch {
	case shown.Malformed:
		sender.Refusal = "the header Authorization holds no key"
	case shown.Given:
		team, known := tree.TeamByKey(shown.Digest)
		sender.Team = team.Name
		if !known {
			sender.Refusal = "no team has the key"
		}
	case exists && !tree.AllowsAnonymous(service):
		sender.Refusal = "the request has no key"
	}
	return sender
}
