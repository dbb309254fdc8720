package router

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// tenureFan passes the changes of one tenure source, which has one receiver, on
// to the shard runtime and to the unit.
type tenureFan struct {
	source  authority.TenureSource
	runtime chan struct{}
	unit    chan struct{}
}

func newTenureFan(source authority.TenureSource) *tenureFan {
	return &tenureFan{source: source, runtime: make(chan struct{}, 1), unit: make(chan struct{}, 1)}
}

// Tenure implements shard.TenureSource.
func (f *tenureFan) Tenure() *authority.Tenure {
	return f.source.Tenure()
}

// Changed implements shard.TenureSource for the runtime.
func (f *tenureFan) Changed() <-chan struct{} {
	return f.runtime
}

// run passes changes on until ctx ends.
func (f *tenureFan) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.source.Changed():
			wake(f.runtime)
			wake(f.unit)
		}
	}
}

// wake fills a channel of capacity one without blocking.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
