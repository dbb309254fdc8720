package settings

// keyRange is a half-open interval [from, to) of keys in byte order with its policy.
type keyRange struct {
	name      string
	from      string
	to        string
	unbounded bool // the range has no upper end
	policy    RequestPolicy
}

func (r keyRange) contains(key string) bool {
	return key >= r.from && (r.unbounded || key < r.to)
}
