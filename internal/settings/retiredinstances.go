package settings

// RetiredInstances lists the runs of instances that operators have declared
// gone, as name@incarnation, sorted.
func (t *Tree) RetiredInstances() []string {
	return sortedKeys(t.retired)
}
