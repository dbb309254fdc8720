package entry

import "peridotmoor.org/peridotmoor/internal/credential"

// Policies looks up the request policy in effect, and who may send requests.
type Policies interface {
	// Lookup returns the policy, or false if the service is unknown.
	Lookup(service, key string) (Policy, bool)
	// Authenticate returns who sends a request for the service, or false without settings.
	Authenticate(shown credential.Credential, service string) (Sender, bool)
}
