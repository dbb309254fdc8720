package router

import (
	"peridotmoor.org/peridotmoor/internal/credential"
	"peridotmoor.org/peridotmoor/internal/entry"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
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

// checkSender returns a problem if the tree does not let the sender of the request in, or
// tells a server something else of it than the request does. The tree may have changed since
// the request arrived.
func checkSender(tree *settings.Tree, r *request.Request) *problem.Problem {
	sender := authenticate(tree, r.Credential, r.Service)
	switch {
	case sender.Refusal != "":
		return problem.New(problem.KindUnauthorized, outcome.StageForwardUnsent, "%s, by settings that are in effect since the request arrived", sender.Refusal)
	case sender.Team != r.Team || sender.KeysRequired != r.HidesCredential:
		return problem.New(problem.KindNotReady, outcome.StageForwardUnsent, "the team of the caller has changed since the request arrived")
	}
	return nil
}
