package ctl

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// pollInterval is the time between two status requests to an instance that lacks
// a version. The tool polls because instances have no notification for it. A
// change takes up to 18 s to be in effect everywhere.
const pollInterval = 500 * time.Millisecond

// waitResult is the output of the wait command.
type waitResult struct {
	Version   uint64   `json:"version"`
	Instances int      `json:"instances"`
	InEffect  int      `json:"in_effect"`
	Lacking   []string `json:"lacking,omitempty"`
}

func (w waitResult) writeText(out io.Writer) {
	fmt.Fprintf(out, "version %d is in effect at %d of %d instances\n", w.Version, w.InEffect, w.Instances)
}

func runWait(ctx context.Context, t *tool) (output, error) {
	number, err := t.waitTarget(ctx)
	if err != nil {
		return nil, err
	}
	addresses, err := t.requireInstances()
	if err != nil {
		return nil, err
	}
	return t.waitFor(ctx, number, addresses, false)
}

// waitTarget returns the version to wait for: the first argument or the accepted version.
func (t *tool) waitTarget(ctx context.Context) (uint64, error) {
	if t.options.First != "" {
		number, err := strconv.ParseUint(t.options.First, 10, 64)
		if err != nil || number == 0 {
			return 0, &usageError{fmt.Sprintf("version %q is not a whole number from 1; see peridotmoorctl history", t.options.First)}
		}
		return number, nil
	}
	s, err := t.connect()
	if err != nil {
		return 0, err
	}
	v, err := requireAccepted(ctx, s)
	return v.Number, err
}

func (t *tool) requireInstances() ([]string, error) {
	addresses := t.options.addresses()
	if len(addresses) == 0 {
		return nil, &usageError{"no instances are named; give --instances with the operators' endpoints of all instances or set " + envInstances}
	}
	return addresses, nil
}

// waitFor polls until all instances have the version in effect or --within has
// passed. If drained is set, it also waits until no server that is out of
// service owns keys. Progress is printed to the standard error.
func (t *tool) waitFor(ctx context.Context, number uint64, addresses []string, drained bool) (waitResult, error) {
	ctx, cancel := context.WithTimeout(ctx, t.options.WaitTimeout)
	defer cancel()
	result := waitResult{Version: number, Instances: len(addresses)}
	lacking := addresses
	for {
		reports := t.fetchStatuses(ctx, lacking)
		if ctx.Err() != nil && result.Lacking != nil {
			return result, newNotInEffectError(result, t.options.WaitTimeout)
		}
		lacking, result.Lacking = instancesLacking(reports, number, drained)
		if done := len(addresses) - len(lacking); done > result.InEffect {
			result.InEffect = done
			t.printProgress(result)
		}
		if len(lacking) == 0 {
			return result, nil
		}
		if !sleep(ctx, pollInterval) {
			return result, newNotInEffectError(result, t.options.WaitTimeout)
		}
	}
}

func (t *tool) printProgress(w waitResult) {
	fmt.Fprintf(t.env.Stderr, "version %d: %d of %d instances\n", w.Version, w.InEffect, w.Instances)
}

// instancesLacking returns the addresses of the instances that lack the version,
// and the reasons. Readiness doesn't count: the instances of a failure domain
// that is out of service are not ready, but may have the version.
func instancesLacking(reports []instanceReport, number uint64, drained bool) (addresses, reasons []string) {
	for _, r := range reports {
		switch {
		case r.Err != nil:
			reasons = append(reasons, fmt.Sprintf("%s does not answer: %v", r.Address, r.Err))
		case r.Status.SettingsVersion < number:
			reasons = append(reasons, fmt.Sprintf("%s (%s, %s) has version %d", r.Status.Instance, r.Status.Domain, r.Address, r.Status.SettingsVersion))
		case drained && r.Status.PendingMoves > 0:
			reasons = append(reasons, fmt.Sprintf("%s (%s, %s) still moves %d key ranges off servers that are out", r.Status.Instance, r.Status.Domain, r.Address, r.Status.PendingMoves))
		default:
			continue
		}
		addresses = append(addresses, r.Address)
	}
	return addresses, reasons
}

func newNotInEffectError(w waitResult, within time.Duration) error {
	return &notInEffectError{fmt.Sprintf("version %d is not in effect everywhere after %s:\n  %s\ncheck these instances, or leave them out of --instances if they are gone, and wait again",
		w.Version, within, strings.Join(w.Lacking, "\n  "))}
}

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
