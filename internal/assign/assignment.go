package assign

import (
	"slices"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/key"
)

// Assignment is the list of ranges of one shard. It must not be modified after
// it has been passed on.
type Assignment struct {
	// Ranges covers the shard's interval without gaps, ordered by start. It is
	// empty for a shard that has not been planned yet or is not partitioned by
	// key.
	Ranges []Range
}

// Equal reports whether both assignments have the same ranges and servers.
func (a Assignment) Equal(other Assignment) bool {
	return slices.Equal(a.Ranges, other.Ranges)
}

// Clone returns a copy that shares no memory with a.
func (a Assignment) Clone() Assignment {
	return Assignment{Ranges: slices.Clone(a.Ranges)}
}

// Validate checks that the ranges cover interval without gaps or overlaps.
func (a Assignment) Validate(interval key.Range) error {
	if len(a.Ranges) == 0 {
		return errors.New("assignment has no ranges; plan it again")
	}
	next := interval.Start
	for i, r := range a.Ranges {
		if r.Bounds.Start != next {
			return errors.Errorf("range %d starts at %016x, not at %016x; plan the assignment again", i, uint64(r.Bounds.Start), uint64(next))
		}
		if r.Bounds.Last() < r.Bounds.Start {
			return errors.Errorf("range %d is empty; plan the assignment again", i)
		}
		next = r.Bounds.End
		if next == 0 && i < len(a.Ranges)-1 {
			return errors.Errorf("range %d ends the hash space but %d ranges follow; plan the assignment again", i, len(a.Ranges)-1-i)
		}
	}
	if next != interval.End {
		return errors.Errorf("the last range ends at %016x, not at %016x; plan the assignment again", uint64(next), uint64(interval.End))
	}
	return nil
}
