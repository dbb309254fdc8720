package dispatch

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/authority"
)

// fakeWitnesses stands for the majority of the witnesses: one place that
// follows the highest token and keeps the latest mirror set.
type fakeWitnesses struct {
	mu        sync.Mutex
	highest   authority.Token
	mirrorSet authority.MirrorSet
	// faults are used by one proposal each, then none.
	faults []proposalFault
}

// proposalFault is what goes wrong with a proposal.
type proposalFault int

const (
	proposalAccepted proposalFault = iota
	// proposalLost reaches no witness.
	proposalLost
	// proposalNoMajority reaches witnesses, one of which the next holder asks, but no majority answers.
	proposalNoMajority
)

// promise makes token the only one whose proposals are accepted.
func (f *fakeWitnesses) promise(token authority.Token) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.highest = token
}

func (f *fakeWitnesses) propose(token authority.Token, set authority.MirrorSet) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if token != f.highest {
		return errors.New("the witnesses follow another holder")
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

// fakeMirrorSets is the view that one holder has of the witnesses.
type fakeMirrorSets struct {
	witnesses *fakeWitnesses
	token     authority.Token
}

// Mirrors implements record.MirrorSets.
func (f *fakeMirrorSets) Mirrors() authority.MirrorSet {
	return f.witnesses.current()
}

// Propose implements record.MirrorSets.
func (f *fakeMirrorSets) Propose(_ context.Context, set authority.MirrorSet) error {
	return f.witnesses.propose(f.token, set)
}

func (f *fakeWitnesses) ballot() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.highest.Ballot
}
