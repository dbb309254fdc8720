package holder

// HolderName returns the name of the instance that is the holder, as far as this one follows
// it or is it, or an empty name. It is safe for concurrent use.
func (e *Elector) HolderName() string {
	if current := e.current.Load(); current != nil {
		return current.Name
	}
	return ""
}
