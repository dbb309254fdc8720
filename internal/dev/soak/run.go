// Package soak plays randomized, seeded runs of peridotmoor-entry as real processes: it
// injects faults from outside them and checks the promises of the platform's pages with
// what callers and backend servers see.
package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/soak/caller"
	"peridotmoor.org/peridotmoor/internal/dev/soak/check"
)

// maxPrinted is how many violations of each check are printed for a seed.
const maxPrinted = 3

// Run plays the seeds one after the other and prints a line for each, and the
// violations. It returns an error if any seed failed. The logs of failed seeds are kept.
func Run(ctx context.Context, options Options, out io.Writer) error {
	if err := options.check(); err != nil {
		return err
	}
	made := ""
	if options.Dir == "" {
		var err error
		if made, err = os.MkdirTemp("", "peridotmoor-soak-"); err != nil {
			return errors.Wrap(err, "directory of the soak")
		}
		options.Dir = made
	}
	failed := 0
	for n := range options.Seeds {
		seed := options.Seed + uint64(n)
		violations, err := playSeed(ctx, options, seed, out)
		if err != nil {
			fmt.Fprintf(out, "seed %d was not played to its end: %v\n", seed, err)
		}
		if err != nil || len(violations) > 0 {
			failed++
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	fmt.Fprintf(out, "soak: seeds=%d failed=%d\n", options.Seeds, failed)
	if failed > 0 {
		return errors.Errorf("%d of %d seeds failed; logs and accounts are in %s", failed, options.Seeds, options.Dir)
	}
	return os.RemoveAll(made)
}

// playSeed plays one seed and returns the violations.
func playSeed(ctx context.Context, options Options, seed uint64, out io.Writer) ([]check.Violation, error) {
	dir := filepath.Join(options.Dir, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "directory of the seed")
	}
	began := time.Now()
	s := newSchedule(seed, options)
	p, err := newPlay(options, seed, dir, s.cutsDomains())
	defer p.close()
	if err != nil {
		return nil, err
	}
	evidence, err := p.run(ctx, s)
	if err != nil {
		_ = p.writeAccount(s, &check.Evidence{}, nil) // the error of the play goes first
		return nil, errors.Wrapf(err, "logs are in %s", dir)
	}
	violations := evidence.Violations()
	fmt.Fprintf(out, "seed %d (%s): %s in %.0f s, %d violations\n", seed, s.theme, summary(evidence), time.Since(began).Seconds(), len(violations))
	printed := map[string]int{}
	for _, v := range violations {
		if printed[v.Check]++; printed[v.Check] <= maxPrinted {
			fmt.Fprintf(out, "  %s: %s\n", v.Check, v.Message)
		}
	}
	for name, count := range printed {
		if count > maxPrinted {
			fmt.Fprintf(out, "  %s: %d in all, see %s\n", name, count, filepath.Join(dir, accountFile))
		}
	}
	if len(violations) == 0 {
		return nil, os.RemoveAll(dir)
	}
	return violations, p.writeAccount(s, evidence, violations)
}

// summary counts the results of the attempts.
func summary(e *check.Evidence) string {
	answered, refused, cut, left := 0, 0, 0, 0
	for _, a := range e.Attempts {
		switch {
		case a.Answered():
			answered++
		case a.Refused():
			refused++
		case a.Result == caller.Cut:
			cut++
		case a.Result == caller.Left:
			left++
		}
	}
	var longestStop time.Duration
	for _, process := range e.Processes {
		if !process.StoppedAt.IsZero() {
			longestStop = max(longestStop, process.EndedAt.Sub(process.StoppedAt))
		}
	}
	departures := ""
	if last := e.LastSends(); len(last) > 0 {
		departures = fmt.Sprintf(" departures=%d last_send_median=%.2fs last_send_max=%.2fs", len(e.Departures), last[len(last)/2].Seconds(), last[len(last)-1].Seconds())
	}
	if inTouch, all := e.LastDomainSends(); len(all) > 0 {
		departures += fmt.Sprintf(" domains_out=%d last_send_max=%.2fs", len(e.DomainsOut), all[len(all)-1].Seconds())
		if len(inTouch) > 0 {
			departures += fmt.Sprintf(" in_touch_max=%.2fs", inTouch[len(inTouch)-1].Seconds())
		}
	}
	return fmt.Sprintf("sent=%d answered=%d refused=%d cut=%d left=%d other=%d runs=%d versions=%d processes=%d longest_stop=%.2fs", len(e.Attempts), answered, refused, cut, left,
		len(e.Attempts)-answered-refused-cut-left, len(e.Runs), len(e.Versions), len(e.Processes), longestStop.Seconds()) + departures
}
