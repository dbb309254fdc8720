package ctl

import (
	"context"
	"fmt"
	"io"

	"peridotmoor.org/peridotmoor/internal/settings"
)

// checkResult is the output of the check command.
type checkResult struct {
	File     string `json:"file"`
	Services int    `json:"services"`
	Domains  int    `json:"failure_domains"`
	Servers  int    `json:"servers"`
	// Accepted is the version that the change was checked against; 0 if there is none.
	Accepted              uint64            `json:"accepted_version,omitempty"`
	Changes               []settings.Change `json:"changes,omitempty"`
	NeedsAcceptedInEffect bool              `json:"needs_accepted_in_effect,omitempty"`
}

func (c checkResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "%s is valid: %d services, %d failure domains, %d servers\n", c.File, c.Services, c.Domains, c.Servers)
	if c.Accepted == 0 {
		return
	}
	fmt.Fprintf(w, "the change from version %d is allowed: %d settings differ\n", c.Accepted, len(c.Changes))
	if c.NeedsAcceptedInEffect {
		fmt.Fprintf(w, "apply needs version %d in effect at every instance first\n", c.Accepted)
	}
}

func runCheck(ctx context.Context, t *tool) (output, error) {
	switch {
	case (t.options.First == "") == (t.options.Platform == ""):
		return nil, &usageError{"name either a FILE or --platform with the address of a store"}
	case t.options.Platform != "":
		return runCheckPlatform(ctx, t)
	}
	tree, err := t.readFile(t.options.First)
	if err != nil {
		return nil, err
	}
	result := checkResult{File: t.options.First, Services: len(tree.Services()), Domains: len(tree.Domains()), Servers: len(tree.Servers())}
	if t.options.Store == "" {
		return result, nil
	}
	s, err := t.connect()
	if err != nil {
		return nil, err
	}
	current, err := readAccepted(ctx, s)
	if err != nil || current.Number == 0 {
		return result, err
	}
	old, err := current.Tree()
	if err != nil {
		return nil, err
	}
	if err := settings.CheckTransition(old, tree); err != nil {
		return nil, err
	}
	result.Accepted, result.Changes, result.NeedsAcceptedInEffect = current.Number, settings.Diff(old, tree), settings.NeedsOldInEffect(old, tree)
	return result, nil
}
