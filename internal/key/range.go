package key

import "fmt"

// Range is the half-open interval [Start, End) of the hash space. An End of 0 stands for 2^64.
type Range struct {
	Start Hash
	End   Hash
}

// Contains reports whether h lies in the range.
func (r Range) Contains(h Hash) bool {
	return h >= r.Start && (r.End == 0 || h < r.End)
}

// Single returns the range that contains only h, for the range of a hot key.
func Single(h Hash) Range {
	return Range{Start: h, End: h + 1}
}

// IsSingle reports whether the range contains exactly one hash.
func (r Range) IsSingle() bool {
	return r.End == r.Start+1
}

// Last returns the highest hash in the range.
func (r Range) Last() Hash {
	return r.End - 1
}

// String formats the range as its first and last hash in hexadecimal.
func (r Range) String() string {
	return fmt.Sprintf("%016x-%016x", uint64(r.Start), uint64(r.Last()))
}
