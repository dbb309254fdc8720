package authority

import "slices"

// Member is an instance with the place where it runs.
type Member struct {
	Instance Instance
	// Address is host:port of the instance's peer endpoint.
	Address string
	// Domain is the failure domain of the instance.
	Domain string
}

// containsInstance reports whether i is among members.
func containsInstance(members []Member, i Instance) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Instance == i })
}
