package authority

// Instance identifies one run of a router process. A restarted process has a
// new incarnation, so witness sets treat it as a different instance.
type Instance struct {
	Name        string
	Incarnation string
}

// IsZero reports whether i is the zero value, which stands for no instance.
func (i Instance) IsZero() bool {
	return i == Instance{}
}

// String formats the instance as name@incarnation.
func (i Instance) String() string {
	return i.Name + "@" + i.Incarnation
}
