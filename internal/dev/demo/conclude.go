package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/judge"
	"peridotmoor.org/peridotmoor/internal/dev/programs"
	"peridotmoor.org/peridotmoor/internal/dev/servers"
)

// conclude judges the load by the evidence of the stand-ins. The routers are
// stopped first: from then on no request can run any more.
func (d *demo) conclude(ctx context.Context, result loadResult) error {
	if err := d.stopRouters(); err != nil {
		return err
	}
	var evidence servers.Recording
	if err := programs.Get(ctx, d.control+"/dev/runlog", &evidence); err != nil {
		return err
	}
	if err := d.writeEvidence(evidence, result); err != nil {
		return err
	}
	verdict := judge.Judge(judge.Case{
		Records:   result.records,
		Runs:      evidence.Executions,
		Overlaps:  evidence.Overlaps,
		Intervals: evidence.Intervals,
		Dropped:   evidence.Dropped,
		Probe:     result.probe.Service,
		ProbeKeys: result.keys,
		Interval:  probeInterval,
		From:      result.from,
		To:        result.to,
	})
	report, reported := d.verify(ctx)
	if report != "" {
		d.say("%s verify: %s", programReport, report)
	}
	for _, violation := range verdict.Violations() {
		d.say("violated: %s", violation)
	}
	fmt.Fprintln(d.out, verdict.Line())
	if err := verdict.Err(); err != nil {
		return err
	}
	return reported
}

// stopRouters asks the routers that are still running for their planned stop.
func (d *demo) stopRouters() error {
	var stops sync.WaitGroup
	failed := make([]error, len(d.instances))
	for n, i := range d.instances {
		stops.Go(func() {
			if !i.Child.Stop() {
				failed[n] = errors.Errorf("router %s did not end within %s of SIGTERM", i.Name, programs.StopTimeout)
			}
		})
	}
	stops.Wait()
	d.say("the routers have stopped")
	for _, err := range failed {
		if err != nil {
			return err
		}
	}
	return nil
}

// writeEvidence stores the run log and the callers' records for the report program.
func (d *demo) writeEvidence(evidence servers.Recording, result loadResult) error {
	content, err := json.Marshal(evidence)
	if err != nil {
		return errors.Wrap(err, "run log")
	}
	if err := os.WriteFile(d.runlogPath(), content, 0o644); err != nil {
		return errors.Wrap(err, "run log")
	}
	return d.writeRecords(result)
}

func (d *demo) writeRecords(result loadResult) error {
	content, err := json.Marshal(result.records)
	if err != nil {
		return errors.Wrap(err, "records of the callers")
	}
	return errors.Wrap(os.WriteFile(d.callersPath(), content, 0o644), "records of the callers")
}
