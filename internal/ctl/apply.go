package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"peridotmoor.org/peridotmoor/internal/settings/version"
)

// applyTimeout limits the store calls of one apply.
const applyTimeout = 30 * time.Second

// applyResult is the output of the apply command.
type applyResult struct {
	Version uint64      `json:"version"`
	Parent  uint64      `json:"parent"`
	Author  string      `json:"author"`
	WriteID string      `json:"write_id"`
	Waited  *waitResult `json:"waited,omitempty"`
}

func (a applyResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "accepted as version %d by %s\n", a.Version, a.Author)
	if a.Waited != nil {
		a.Waited.writeText(w)
		return
	}
	fmt.Fprintf(w, "peridotmoorctl wait %d tells when it is in effect everywhere\n", a.Version)
}

func runApply(ctx context.Context, t *tool) (output, error) {
	if t.options.Wait && t.options.NoInstances {
		return nil, &usageError{"--wait needs instances and --no-instances says that there are none; leave one of them out"}
	}
	proposal, err := t.readProposal()
	if err != nil {
		return nil, err
	}
	s, err := t.connect()
	if err != nil {
		return nil, err
	}
	if proposal.InEffect, err = t.highestInEffect(ctx); err != nil {
		return nil, err
	}
	applyCtx, cancel := context.WithTimeout(ctx, applyTimeout+t.options.WaitTimeout)
	defer cancel()
	v, err := version.Apply(applyCtx, s, proposal)
	if err != nil {
		return nil, err
	}
	result := applyResult{Version: v.Number, Parent: v.Parent, Author: v.Author, WriteID: v.WriteID}
	if !t.options.Wait {
		return result, nil
	}
	outcome, err := t.waitFor(ctx, v.Number, t.options.addresses(), false)
	result.Waited = &outcome
	return result, err
}

// readProposal reads the settings file and determines the version that it was built on.
func (t *tool) readProposal() (version.Proposal, error) {
	name := t.options.First
	text, err := os.ReadFile(name)
	if err != nil {
		return version.Proposal{}, &usageError{fmt.Sprintf("cannot read the settings tree: %v; correct the file name", err)}
	}
	body, marked, hasMark := splitParentHeader(string(text))
	parent := t.options.Parent
	switch {
	case parent < 0 && !hasMark:
		return version.Proposal{}, &usageError{fmt.Sprintf("it is not known which version %s was built on; give --parent N, or start from peridotmoorctl show --text", name)}
	case parent < 0:
		parent = int(marked)
	case hasMark && uint64(parent) != marked:
		return version.Proposal{}, &usageError{fmt.Sprintf("%s names version %d in its first line and --parent names %d; correct one of them", name, marked, parent)}
	}
	p := version.Proposal{Text: body, FileName: name, Author: t.options.Author, Parent: uint64(parent), Time: t.env.Now()}
	p.ConfirmInEffect = t.confirmInEffect
	if t.options.NoInstances {
		// Without a running instance no backend server has a grant, so there is nothing to wait for.
		p.ConfirmInEffect = func(context.Context, uint64) error { return nil }
	}
	return p, nil
}

// confirmInEffect waits until a version is in effect at all instances and no
// server that is out of service owns keys.
func (t *tool) confirmInEffect(ctx context.Context, number uint64) error {
	fmt.Fprintf(t.env.Stderr, "this change needs version %d in effect at every instance first\n", number)
	_, err := t.waitFor(ctx, number, t.options.addresses(), true)
	return err
}

// highestInEffect returns the highest version that any instance has in effect.
// One response is enough: an instance that lags only reports a lower version.
func (t *tool) highestInEffect(ctx context.Context) (uint64, error) {
	if t.options.NoInstances {
		return 0, nil
	}
	addresses, err := t.requireInstances()
	if err != nil {
		return 0, err
	}
	var highest uint64
	var failures []string
	for _, r := range t.fetchStatuses(ctx, addresses) {
		if r.Err != nil {
			failures = append(failures, fmt.Sprintf("%s: %v", r.Address, r.Err))
			continue
		}
		highest = max(highest, r.Status.SettingsVersion)
	}
	if len(failures) == len(addresses) {
		return 0, &unreachableError{fmt.Sprintf("no instance says which version is in effect:\n  %s\ncheck --instances; only when no instance runs yet, apply with --no-instances", strings.Join(failures, "\n  "))}
	}
	return highest, nil
}
