package holder

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/store"
)

// slowSource takes a while for each read, which fails if fails is set. It does not answer one
// of each ten if losesOne is set.
type slowSource struct {
	emptySource
	duration time.Duration
	fails    bool
	losesOne bool
	reads    *atomic.Int64
}

func (s slowSource) Listing(ctx context.Context) (fleet.Listing, error) {
	answer := time.After(s.duration)
	if s.reads.Add(1)%10 == 2 && s.losesOne {
		answer = nil
	}
	select {
	case <-answer:
	case <-ctx.Done():
		return fleet.Listing{}, ctx.Err()
	}
	if s.fails {
		return fleet.Listing{}, store.ErrUnavailable
	}
	return fleet.Listing{}, nil
}

// Guards against facts that grow older because reads are slow: the pause between them was
// added to their duration. Guards also against a holder that reads without pause.
func TestSlowReadsDoNotDelayTheNextOne(t *testing.T) {
	for name, c := range map[string]struct {
		source slowSource
		want   int64 // in 6 s
	}{
		"fast":            {slowSource{duration: time.Millisecond}, 10},
		"slow":            {slowSource{duration: 500 * time.Millisecond}, 20}, // reads overlap
		"very slow":       {slowSource{duration: 700 * time.Millisecond}, 20},
		"fails at once":   {slowSource{fails: true}, 20},
		"fails after 1 s": {slowSource{fails: true, duration: time.Second}, 20}, // a read lasts 0.9 s at most
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				registry := facts.NewRegistry(nil, nil)
				c.source.reads = new(atomic.Int64)
				e := &Elector{registry: registry, reader: facts.NewReader(c.source, registry, nil)}
				ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second-time.Millisecond)
				defer cancel()
				e.readStorePeriodically(ctx)
				is.New(t).Equal(c.source.reads.Load(), c.want)
			})
		})
	}
}
