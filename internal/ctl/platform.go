package ctl

import (
	"context"
	"fmt"
	"io"
)

// platformResult is the output of check --platform: what peridotmoor-entry reads from the
// platform's store, and what of it cannot be read.
type platformResult struct {
	Store string `json:"store"`
	PlatformState
}

func (p platformResult) writeText(w io.Writer) {
	for _, e := range p.Unreadable {
		fmt.Fprintf(w, "%q: %s\n", e.Key, e.Reason)
	}
	if p.ConfigVersion > 0 {
		fmt.Fprintf(w, "%s holds configuration %d and %d backend servers; %d entries cannot be read\n", p.Store, p.ConfigVersion, p.Servers, len(p.Unreadable))
	} else {
		fmt.Fprintf(w, "%s holds no configuration that can be read, and %d backend servers; %d entries cannot be read\n", p.Store, p.Servers, len(p.Unreadable))
	}
}

func runCheckPlatform(ctx context.Context, t *tool) (output, error) {
	state, err := t.env.ReadPlatform(ctx, t.options.Platform)
	if err != nil {
		return nil, &unreachableError{fmt.Sprintf("store %s: %v", t.options.Platform, err)}
	}
	result := platformResult{Store: t.options.Platform, PlatformState: state}
	if len(state.Unreadable) > 0 {
		return result, errEntriesUnreadable
	}
	return result, nil
}
