package authority

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a holder that gives its mirror set the generation of another set, which its
// predecessor proposed and only a minority of the witnesses knows: that minority would count
// as knowing the new set, and the next holder would read records from the wrong mirrors.
func TestMirrorSetsOfTwoHoldersHaveDifferentGenerations(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		s := newSim(seed, 5, 0.01)
		s.advance(3 * time.Second)
		first := s.holder()
		ignorant := s.nodes[(first.index+1)%5]
		informed := s.nodes[(first.index+2)%5]
		for i := range s.partition {
			s.partition[i] = 1
		}
		s.partition[first.index], s.partition[informed.index] = 0, 0
		propose(first, informed)
		s.advance(100 * time.Millisecond)
		first.kill()
		s.advance(time.Second)
		second := s.holder() // of the three that do not know the proposal
		is.True(second != nil)
		clear(s.partition)
		propose(second, ignorant)
		s.advance(time.Second)
		mine := second.tenure.Mirrors
		theirs := informed.node.witness.Promise(simShard).Mirrors
		is.True(mine.Contains(ignorant.self.Instance))
		is.Equal(theirs, mine)
		is.Equal(s.violations, nil)
	}
}

// Guards against a holder that proposes more mirror sets than its token has generations.
func TestMirrorGenerationsOfATokenAreLimited(t *testing.T) {
	is := is.New(t)
	token, next := Token{Epoch: 2, Ballot: 7}, Token{Epoch: 2, Ballot: 8}
	last, sets := uint64(0), 0
	for {
		generation, ok := nextMirrorGeneration(token, last)
		if !ok {
			break
		}
		last = generation
		sets++
	}
	is.Equal(sets, 1<<mirrorSetBits-1)
	is.True(last < mirrorGenerationBase(next))
	is.True(mirrorGenerationBase(next) < mirrorGenerationBase(Token{Epoch: 3, Ballot: 1}))
	s := newSim(1, 3, 0)
	s.advance(3 * time.Second)
	holder := s.holder()
	held := holder.tenure.Token
	state := holder.node.shardState(simShard)
	state.proposedMirrors.Generation = mirrorGenerationBase(Token{Epoch: held.Epoch, Ballot: held.Ballot + 1}) - 1
	propose(holder, s.nodes[(holder.index+1)%3])
	s.advance(time.Second)
	is.True(held.Less(holder.tenure.Token)) // a higher token has further generations
	propose(holder, s.nodes[(holder.index+1)%3])
	s.advance(time.Second)
	is.True(holder.tenure.Mirrors.Contains(s.nodes[(holder.index+1)%3].self.Instance))
}

func propose(holder, member *simNode) {
	holder.enqueue(func(now time.Time) {
		holder.node.ProposeMirrors(now, simShard, []Instance{member.self.Instance})
	})
}
