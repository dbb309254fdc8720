package version

import (
	"fmt"
	"strings"

	"peridotmoor.org/peridotmoor/internal/settings"
)

// ConflictError means that another operator's version was accepted first. The proposal
// was not applied.
type ConflictError struct {
	// Parent is the version that the proposal was built on.
	Parent uint64
	// Winner is the accepted version that the proposal conflicts with.
	Winner Version
	// Changes lists the differences from Parent to Winner, or from the proposal to Winner
	// if Parent could not be read.
	Changes []settings.Change
	// FromProposal is true if Changes lists the differences from the proposal.
	FromProposal bool
}

// Error describes the winner, the differing settings and how to proceed.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "the proposal was built on version %d, but %s was accepted first; nothing was applied\n", e.Parent, e.Winner)
	if e.FromProposal {
		b.WriteString("settings that differ from the proposal:\n")
	} else {
		fmt.Fprintf(&b, "settings changed since version %d:\n", e.Parent)
	}
	for _, change := range e.Changes {
		fmt.Fprintf(&b, "  %s\n", change)
	}
	fmt.Fprintf(&b, "take these over into the proposal, set its parent to %d and apply it again", e.Winner.Number)
	return b.String()
}
