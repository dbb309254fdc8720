package dispatch

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/authority"
)

// fakeWitnesses stands for the majority of the witnesses. It accepts proposals with the
// highest token only and stores the latest mirror set.
type fakeWitnesses struct {
	mu        sync.Mutex
	highest   authority.Token
	mirrorSet authority.MirrorSet
	// faults are the faults of the first proposals, one each; later ones have none.
	faults []proposalFault
}

// proposalFault is the fault of one proposal.
type proposalFault int

const (
	proposalAccepted proposalFault = iota
	// proposalLost reaches no witness.
	proposalLost
	// proposalNoMajority is stored by a witness that the next holder asks, but no majority
	// acknowledges it.
	proposalNoMajority
)

// promise makes the witnesses accept only proposals with token.
func (f *fakeWitnesses) promise(token authority.Token) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.highest = token
}

func (f *fakeWitnesses) propose(token authority.Token, set authority.MirrorSet) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if token != f.highest {
		return errors.New("the witnesses have promised to another holder")
	}
	fault := proposalAccepted
	if len(f.faults) > 0 {
		fault, f.faults = f.faults[0], f.faults[1:]
	}
	if fault == proposalLost {
		return errors.New("no witness answered")
	}
	f.mirrorSet = set
	if fault == proposalNoMajority {
		return errors.New("no majority of the witnesses answered")
	}
	return nil
}

func (f *fakeWitnesses) current() authority.MirrorSet {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirrorSet
}

// fakeMirrorSetConsensus gives one holder access to the witnesses.
type fakeMirrorSetConsensus struct {
	witnesses *fakeWitnesses
	token     authority.Token
}

// Mirrors implements record.MirrorSetConsensus.
func (f *fakeMirrorSetConsensus) Mirrors() authority.MirrorSet {
	return f.witnesses.current()
}

// Propose implements record.MirrorSetConsensus.
func (f *fakeMirrorSetConsensus) Propose(_ context.Context, set authority.MirrorSet) error {
	return f.witnesses.propose(f.token, set)
}

func (f *fakeWitnesses) ballot() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.highest.Ballot
}
