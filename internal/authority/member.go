package authority

import "slices"

// Member is an instance with its address and failure domain.
type Member struct {
	Instance Instance
	// Address is host:port of the instance's peer endpoint.
	Address string
	// Domain is the failure domain of the instance.
	Domain string
}

func containsInstance(members []Member, i Instance) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Instance == i })
}
