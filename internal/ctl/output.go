package ctl

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/settings"
	"peridotmoor.org/peridotmoor/internal/settings/version"
)

// output is the result of a command. It is printed as JSON or by human.
type output interface {
	human(w io.Writer)
}

// failure is the JSON form of an error.
type failure struct {
	Error    string            `json:"error"`
	ExitCode int               `json:"exit_code"`
	Issues   settings.Issues   `json:"issues,omitempty"`
	Winner   uint64            `json:"winner_version,omitempty"`
	Author   string            `json:"winner_author,omitempty"`
	Changes  []settings.Change `json:"winner_changes,omitempty"`
}

func newFailure(err error) failure {
	f := failure{Error: err.Error(), ExitCode: exitCode(err)}
	errors.As(err, &f.Issues)
	var race *version.RaceError
	if errors.As(err, &race) {
		f.Winner, f.Author, f.Changes = race.Winner.Number, race.Winner.Author, race.Changes
	}
	return f
}

// print writes the result, then the error, and returns the exit code.
func (t *tool) print(result output, err error) int {
	if t.options.JSON {
		t.printJSON(result, err)
		return exitCode(err)
	}
	if result != nil {
		result.human(t.env.Stdout)
	}
	if err != nil && err != errDiffer {
		fmt.Fprintln(t.env.Stderr, err)
	}
	return exitCode(err)
}

func (t *tool) printJSON(result output, err error) {
	encoder := json.NewEncoder(t.env.Stdout)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if result != nil {
		encoder.Encode(result)
	} else if err != nil {
		encoder.Encode(newFailure(err))
	}
}
