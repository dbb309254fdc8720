package backend

// fences holds the highest fences with which two different servers have taken a key.
type fences struct {
	highest, next taking
}

// take records that the server takes the key and returns the highest fence with which
// another server has taken it.
func (f *fences) take(t taking) (others taking) {
	others = f.highest
	if others.server == t.server {
		others = f.next
	}
	switch {
	case f.highest.server == t.server:
		f.highest.fence = max(f.highest.fence, t.fence)
	case t.fence >= f.highest.fence:
		f.highest, f.next = t, f.highest
	case t.fence >= f.next.fence:
		f.next = t
	}
	return others
}
