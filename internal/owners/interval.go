package owners

// Interval is a range of keys, both ends included.
type Interval struct {
	From, To int
}

// Contains reports whether key lies in the interval.
func (i Interval) Contains(key int) bool {
	return key >= i.From && key <= i.To
}

// Size returns the number of keys.
func (i Interval) Size() int {
	return i.To - i.From + 1
}
