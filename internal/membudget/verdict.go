package membudget

// verdict is the decision on a request for memory.
type verdict uint8

const (
	granted verdict = iota
	// shareUsed means that the connection or the kind has its share, while others may get more.
	shareUsed
	// exhausted means that the memory for all is used up.
	exhausted
)

// decideSmall decides on n bytes that a usual request needs.
func (l *Limits) decideSmall(u usage, n int64) verdict {
	if u.total+n > l.Total {
		return exhausted
	}
	return granted
}

// decideLarge decides on n bytes beyond what a usual request needs.
func (l *Limits) decideLarge(u usage, kind Kind, n int64) verdict {
	switch {
	case u.total+n > l.Large:
		return exhausted
	case u.kind+n > l.PerKind[kind]:
		return shareUsed
	}
	return granted
}

// decideElastic decides on n bytes beyond what a usual request needs, where the connection
// can do without. It may hold no more than half of what is free, so that part of the memory
// always stays free: with n connections that take what they can, a share of 2 in n+2.
func (l *Limits) decideElastic(u usage, kind Kind, n int64) verdict {
	if v := l.decideLarge(u, kind, n); v != granted {
		return v
	}
	if u.connection+n > (l.Large-u.total)/2 {
		return shareUsed
	}
	return granted
}
