// Package ctl implements peridotmoorctl, the operators' command line tool.
package ctl

import (
	"context"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/settings/version"
	"peridotmoor.org/peridotmoor/internal/store"
)

// Exit codes. docs/operators/README.md lists them; a test compares the two.
const (
	ExitDone        = 0
	ExitRefused     = 1 // the tree or the change is invalid, or the compared trees differ
	ExitUsage       = 2 // invalid arguments
	ExitConflict    = 3 // another operator's version was accepted first
	ExitUnavailable = 4 // the store or a required instance was unreachable; nothing changed
	ExitUncertain   = 5 // the response of the store was lost; the version may have been accepted
	ExitNotInEffect = 6 // the wait ended before the version was in effect at all instances
)

// usageError reports invalid arguments.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

// exitCode maps an error to the exit code of the process.
func exitCode(err error) int {
	var (
		usage       *usageError
		unreachable *unreachableError
		notInEffect *notInEffectError
		conflict    *version.ConflictError
		staleStore  *version.StaleStoreError
		uncertain   *version.UncertainError
	)
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &uncertain):
		return ExitUncertain
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &notInEffect):
		return ExitNotInEffect
	case errors.As(err, &unreachable), errors.As(err, &staleStore), isStoreFailure(err):
		return ExitUnavailable
	}
	return ExitRefused
}

func isStoreFailure(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUncertain) || errors.Is(err, context.DeadlineExceeded)
}
