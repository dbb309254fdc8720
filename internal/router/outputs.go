package router

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/nodeconfig"
)

// outputs are the files for log events and spans.
type outputs struct {
	records io.WriteCloser
	spans   io.WriteCloser
}

// openOutputs opens the configured files for appending. Without [records] path, log
// events are written to standard error.
func openOutputs(config nodeconfig.Config) (*outputs, error) {
	o := &outputs{records: os.Stderr}
	if config.Records.Path != "" {
		file, err := openAppend(config.Records.Path, "[records] path")
		if err != nil {
			return nil, err
		}
		o.records = file
	}
	if config.Trace.Path != "" {
		file, err := openAppend(config.Trace.Path, "[trace] path")
		if err != nil {
			return nil, err
		}
		o.spans = file
	}
	return o, nil
}

func openAppend(path, setting string) (*os.File, error) {
	const ownerWrites = 0o644
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, ownerWrites)
	return file, errors.Wrapf(err, "open %s; correct %s", path, setting)
}

// close closes the files but not standard error.
func (o *outputs) close() {
	if o.spans != nil {
		_ = o.spans.Close()
	}
	if o.records != os.Stderr {
		_ = o.records.Close()
	}
}
