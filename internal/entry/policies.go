package entry

// Policies looks up the request policy in effect.
type Policies interface {
	// Lookup returns the policy, or false if the service is unknown.
	Lookup(service, key string) (Policy, bool)
}
