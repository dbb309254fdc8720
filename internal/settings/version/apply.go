package version

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/settings"
	"peridotmoor.org/peridotmoor/internal/store"
)

const (
	// historyRetention bounds the history: at 3,500 changes a day a week is 24,500 versions.
	historyRetention = 7 * 24 * time.Hour
	// readBackInterval is the wait before a lost answer is read back again.
	readBackInterval = 200 * time.Millisecond
)

// Apply makes the proposal the accepted version and returns it. It is accepted
// once the compare-and-swap took effect. Errors: settings.Issues for a faulty
// tree or transition, RaceError, OlderStoreError, UnchangedError,
// NotSettledError, UncertainError, ErrCorrupt and the store's errors. Only after
// an UncertainError the proposal may have been accepted.
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

// checkParent refuses a proposal that was not built on the accepted version.
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

// saveToHistory writes the version to the history before it is replaced. So a writer
// whose answer was lost finds its version there even when others followed.
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
		// Another operator keeps the version; without its key the lease serves nothing.
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
