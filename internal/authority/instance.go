package authority

// Instance names one run of a router process. A restarted process has a new
// incarnation and is therefore another instance to every witness set.
type Instance struct {
	Name        string
	Incarnation string
}

// IsZero reports whether no instance is named.
func (i Instance) IsZero() bool {
	return i == Instance{}
}

// String formats the instance as name@incarnation.
func (i Instance) String() string {
	return i.Name + "@" + i.Incarnation
}
