package version

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/settings"
	"peridotmoor.org/peridotmoor/internal/store"
)

const (
	// historyRetention limits the size of the history: at 3,500 changes a day, a week has
	// 24,500 versions.
	historyRetention = 7 * 24 * time.Hour
	// readBackInterval is the delay between attempts to find out the result of a write
	// whose response was lost.
	readBackInterval = 200 * time.Millisecond
)

// Apply writes the proposal to the store as the next version and returns it. The version
// is accepted when its compare-and-swap takes effect. Errors are settings.Issues for an
// invalid tree or transition, ConflictError, StaleStoreError, UnchangedError,
// NotInEffectError, UncertainError, ErrCorrupt and those of the store. With an
// UncertainError the proposal may have been accepted; with any other error it was not.
func Apply(ctx context.Context, s store.Store, p Proposal) (Version, error) {
	tree, err := p.validate()
	if err != nil {
		return Version{}, err
	}
	current, revision, err := Current(ctx, s)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return Version{}, err
	}
	if err := checkParent(ctx, s, p, tree, current); err != nil {
		return Version{}, err
	}
	if err := checkChange(ctx, p, tree, current); err != nil {
		return Version{}, err
	}
	if err := saveToHistory(ctx, s, current); err != nil {
		return Version{}, err
	}
	w := &versionWriter{store: s, proposal: p, tree: tree, next: p.newVersion(), revision: revision}
	return w.write(ctx)
}

// checkParent returns an error if the proposal was not built on the accepted version.
func checkParent(ctx context.Context, s store.Store, p Proposal, tree *settings.Tree, current Version) error {
	if current.Number < p.InEffect {
		return &StaleStoreError{Stored: current.Number, InEffect: p.InEffect}
	}
	if current.Number < p.Parent {
		return errors.Errorf("the proposal names parent %d but the accepted version is %d; correct the parent", p.Parent, current.Number)
	}
	if current.Number > p.Parent {
		return newConflictError(ctx, s, p, tree, current)
	}
	return nil
}

// checkChange returns an error if the accepted version may not be replaced by tree.
func checkChange(ctx context.Context, p Proposal, tree *settings.Tree, current Version) error {
	if current.Number == 0 {
		return nil
	}
	if current.Text == p.Text {
		return &UnchangedError{Current: current}
	}
	old, err := current.Tree()
	if err != nil {
		return errors.Wrap(err, "this release refuses the accepted version; use the release that wrote it")
	}
	if err := settings.CheckTransition(old, tree); err != nil {
		return err
	}
	if !settings.NeedsOldInEffect(old, tree) {
		return nil
	}
	if p.ConfirmInEffect == nil {
		return &NotInEffectError{Current: current.Number, cause: errors.New("no instance was asked; name the instances")}
	}
	if err := p.ConfirmInEffect(ctx, current.Number); err != nil {
		return &NotInEffectError{Current: current.Number, cause: err}
	}
	return nil
}

// saveToHistory writes the accepted version to the history before it is replaced. A
// writer whose response was lost can thus find its version even if others have followed.
func saveToHistory(ctx context.Context, s store.Store, v Version) error {
	if v.Number == 0 {
		return nil
	}
	value, err := Encode(v)
	if err != nil {
		return err
	}
	lease, err := s.Grant(ctx, historyRetention)
	if err != nil {
		return errors.Wrap(err, "keep the accepted version in the history")
	}
	_, err = s.CompareAndSwap(ctx, HistoryKey(v.Number), 0, value, lease)
	if errors.Is(err, store.ErrConflict) {
		// Another operator has saved the version already, so the lease is not needed.
		return errors.Wrap(s.Revoke(ctx, lease), "revoke an unused lease of the history")
	}
	if errors.Is(err, store.ErrUncertain) {
		_, err = s.CompareAndSwap(ctx, HistoryKey(v.Number), 0, value, lease)
	}
	if err == nil || errors.Is(err, store.ErrConflict) {
		return nil
	}
	return errors.Wrap(err, "keep the accepted version in the history")
}

// newConflictError describes the conflict of p with the version accepted before it. It
// compares the winner with the parent of p if that can be read, else with p itself.
func newConflictError(ctx context.Context, s store.Store, p Proposal, tree *settings.Tree, winner Version) error {
	result := &ConflictError{Parent: p.Parent, Winner: winner}
	newer, err := winner.Tree()
	if err != nil {
		return result
	}
	base, err := Get(ctx, s, p.Parent)
	if err == nil {
		if old, err := base.Tree(); err == nil {
			result.Changes = settings.Diff(old, newer)
			return result
		}
	}
	result.FromProposal = true
	result.Changes = settings.Diff(tree, newer)
	return result
}
