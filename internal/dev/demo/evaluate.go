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

// evaluate checks the results of the load against the evidence of the stand-ins.
// It stops the routers first, so that no request can run after the run log is read.
func (d *demo) evaluate(ctx context.Context, result loadResult) error {
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
	checked := judge.Evaluate(judge.Input{
		Records:         result.records,
		Runs:            evidence.Executions,
		Overlaps:        evidence.Overlaps,
		Intervals:       evidence.Intervals,
		DroppedEvidence: evidence.Dropped,
		ProbedService:   result.probe.Service,
		ProbeKeys:       result.keys,
		ProbeInterval:   probeInterval,
		From:            result.from,
		To:              result.to,
	})
	report, reportErr := d.verify(ctx)
	if report != "" {
		d.printProgress("%s verify: %s", programReport, report)
	}
	for _, violation := range checked.Violations() {
		d.printProgress("violated: %s", violation)
	}
	fmt.Fprintln(d.out, checked.SummaryLine())
	if err := checked.Err(); err != nil {
		return err
	}
	return reportErr
}

// stopRouters performs a planned stop of the routers that are still running.
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
	d.printProgress("the routers have stopped")
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
