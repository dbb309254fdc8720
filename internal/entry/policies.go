package entry

// Policies looks up the request policy in force.
type Policies interface {
	// Lookup returns the policy, or false when the service is unknown.
	Lookup(service, key string) (Policy, bool)
}
