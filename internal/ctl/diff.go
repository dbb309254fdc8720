package ctl

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/settings"
)

// errTreesDiffer makes diff exit with ExitRefused (1), as diff and cmp do when their inputs differ.
var errTreesDiffer = errors.New("the trees differ")

// diffResult is the output of the diff command.
type diffResult struct {
	From    string            `json:"from"`
	To      string            `json:"to"`
	Changes []settings.Change `json:"changes"`
}

func (c diffResult) writeText(w io.Writer) {
	if len(c.Changes) == 0 {
		fmt.Fprintf(w, "%s and %s hold the same settings\n", c.From, c.To)
		return
	}
	fmt.Fprintf(w, "from %s to %s\n", c.From, c.To)
	for _, change := range c.Changes {
		fmt.Fprintf(w, "  %s\n", change)
	}
}

func runDiff(ctx context.Context, t *tool) (output, error) {
	from, to := t.options.First, t.options.Second
	if to == "" {
		from, to = "", from
	}
	a, nameA, err := t.readTree(ctx, from)
	if err != nil {
		return nil, err
	}
	b, nameB, err := t.readTree(ctx, to)
	if err != nil {
		return nil, err
	}
	result := diffResult{From: nameA, To: nameB, Changes: settings.Diff(a, b)}
	if len(result.Changes) > 0 {
		return result, errTreesDiffer
	}
	return result, nil
}

// readTree reads one side of a comparison and returns it with its description.
// An empty name stands for the accepted version, a number for that version, and
// any other name for a file.
func (t *tool) readTree(ctx context.Context, name string) (*settings.Tree, string, error) {
	number, err := strconv.ParseUint(name, 10, 64)
	if name != "" && err != nil {
		tree, err := t.readFile(name)
		return tree, name, err
	}
	s, err := t.connect()
	if err != nil {
		return nil, "", err
	}
	v, err := requireAccepted(ctx, s)
	if name != "" {
		v, err = readVersion(ctx, s, number)
	}
	if err != nil {
		return nil, "", err
	}
	tree, err := v.Tree()
	return tree, fmt.Sprintf("version %d", v.Number), err
}
