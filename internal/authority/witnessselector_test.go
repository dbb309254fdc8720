package authority

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peridotmoor.org/peridotmoor/internal/key"
)

func newMembers(count, domains int) []Member {
	members := make([]Member, count)
	for i := range members {
		name := fmt.Sprintf("i%02d", i)
		members[i] = Member{Instance: Instance{name, "1"}, Address: name, Domain: fmt.Sprint("d", i%domains)}
	}
	return members
}

func newShardSpec(index int) ShardSpec {
	return ShardSpec{ID: key.ShardID{Service: "rail", Index: index}, Domains: []string{"d0", "d1", "d2"}}
}

// Guards against a failure domain with a majority of the witnesses, and against
// an instance that is preferred for a disproportionate number of shards.
func TestWitnessesAreSpread(t *testing.T) {
	is := is.New(t)
	first := map[string]int{}
	for index := range 600 {
		witnesses := NewWitnessSelector(newShardSpec(index), newMembers(12, 3)).Select(nil)
		is.Equal(len(witnesses), 5)
		perDomain := map[string]int{}
		for _, w := range witnesses {
			perDomain[w.Domain]++
			is.True(perDomain[w.Domain] <= 2)
		}
		first[witnesses[0].Instance.Name]++
	}
	for _, count := range first {
		is.True(count > 25 && count < 80) // 50 shards on average
	}
	is.Equal(len(first), 12)
}

// Guards against a selection that replaces witnesses in service, has too few
// members or depends on the order of the list.
func TestWitnessesAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := newMembers(rapid.IntRange(5, 15).Draw(t, "count"), 3)
		before := NewWitnessSelector(newShardSpec(2), members).Select(nil)
		lost := rapid.SampledFrom(before).Draw(t, "lost")
		var left, keep []Member
		for _, m := range rapid.Permutation(members).Draw(t, "order") {
			if m != lost {
				left = append(left, m)
			}
		}
		for _, m := range before {
			if m != lost {
				keep = append(keep, m)
			}
		}
		after := NewWitnessSelector(newShardSpec(1), left).Select(keep)
		if len(after) != witnessCount(len(left)) || len(after)%2 == 0 {
			t.Fatalf("%d witnesses of %d instances", len(after), len(left))
		}
		kept := 0
		for _, m := range keep {
			if containsInstance(after, m.Instance) {
				kept++
			}
		}
		if kept < min(len(keep), len(after))-1 {
			t.Fatalf("only %d of %d witnesses in service were kept", kept, len(keep))
		}
	})
}

// Guards against a rank that differs from the order in which witnesses are
// selected. The reference implementation sorts all members.
func TestRankingMatchesOrder(t *testing.T) {
	is := is.New(t)
	members := newMembers(40, 4)
	for index := range 50 {
		for i, m := range NewWitnessSelector(newShardSpec(index), members).eligible {
			is.Equal(newRankCalculator(m, members).rank(newShardSpec(index)), i)
		}
		is.Equal(newRankCalculator(members[3], members).rank(newShardSpec(index)), -1) // of domain d3
	}
}
