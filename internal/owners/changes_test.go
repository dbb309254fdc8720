package owners

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// drawRanges draws ranges that cover the keys 0 to 99.
func drawRanges(t *rapid.T, label string) []OwnedRange {
	var out []OwnedRange
	for from := 0; from < 100; {
		to := min(99, from+rapid.IntRange(0, 40).Draw(t, label))
		owner := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, label)
		out = append(out, OwnedRange{Interval: Interval{From: from, To: to}, Owner: owner, Held: rapid.Bool().Draw(t, label)})
		from = to + 1
	}
	return out
}

// A follower that receives only the changes must end up with the same owners as the holder.
func TestApplyChangesYieldsNextRanges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		is := is.New(t)
		old, next := drawRanges(r, "old"), drawRanges(r, "next")
		is.Equal(ApplyChanges(old, ChangedRanges(old, next)), next)
		is.Equal(ApplyChanges(nil, ChangedRanges(nil, next)), next)
	})
}
