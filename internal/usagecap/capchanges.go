package usagecap

// CapChanges counts the teams whose caps a configuration has changed.
type CapChanges struct {
	Added, Changed, Removed int
}

// Any reports whether there are any changes.
func (c CapChanges) Any() bool {
	return c.Added+c.Changed+c.Removed > 0
}
