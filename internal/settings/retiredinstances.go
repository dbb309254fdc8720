package settings

// RetiredInstances returns the incarnations of instances that operators have declared
// terminated, as name@incarnation, sorted.
func (t *Tree) RetiredInstances() []string {
	return sortedKeys(t.retired)
}
