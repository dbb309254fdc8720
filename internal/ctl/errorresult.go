package ctl

import (
	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/settings"
	"peridotmoor.org/peridotmoor/internal/settings/version"
)

// errorResult is the JSON representation of an error. Winner, Author and Changes
// describe the version that was accepted first in case of a conflict.
type errorResult struct {
	Error    string            `json:"error"`
	ExitCode int               `json:"exit_code"`
	Issues   settings.Issues   `json:"issues,omitempty"`
	Winner   uint64            `json:"winner_version,omitempty"`
	Author   string            `json:"winner_author,omitempty"`
	Changes  []settings.Change `json:"winner_changes,omitempty"`
}

func newErrorResult(err error) errorResult {
	f := errorResult{Error: err.Error(), ExitCode: exitCode(err)}
	errors.As(err, &f.Issues)
	var conflict *version.ConflictError
	if errors.As(err, &conflict) {
		f.Winner, f.Author, f.Changes = conflict.Winner.Number, conflict.Winner.Author, conflict.Changes
	}
	return f
}
