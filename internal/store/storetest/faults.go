package storetest

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/store"
)

// faults returns the test cases with injected faults.
func faults() []contractCase {
	cases := []contractCase{
		{"unavailable: waiting watch ends", unavailableEndsWatch},
		{"delayed: an abandoned write takes effect", delayedWrite},
		{"response lost: the write took effect", lostWrite},
		{"response lost: only the next one", lostOnce},
		{"response of a conflict is not lost", lostConflict},
		{"stale reads", staleReads},
	}
	for _, c := range calls() {
		cases = append(cases,
			contractCase{"unavailable: " + c.name, func(t *testing.T, h Harness) { callUnavailable(t, h, c) }},
			contractCase{"delayed: " + c.name, func(t *testing.T, h Harness) { callDelayed(t, h, c) }})
		if c.writes {
			cases = append(cases, contractCase{"response lost: " + c.name, func(t *testing.T, h Harness) { callLost(t, h, c) }})
		}
	}
	return cases
}

// call is a call of one method of the store with valid arguments.
type call struct {
	name   string
	writes bool
	run    func(ctx context.Context, s store.Store, lease store.LeaseID) error
}

func calls() []call {
	return []call{
		{"Get", false, func(ctx context.Context, s store.Store, _ store.LeaseID) error {
			_, err := s.Get(ctx, "there")
			return err
		}},
		{"List", false, func(ctx context.Context, s store.Store, _ store.LeaseID) error {
			_, err := s.List(ctx, "")
			return err
		}},
		{"CompareAndSwap", true, func(ctx context.Context, s store.Store, _ store.LeaseID) error {
			_, err := s.CompareAndSwap(ctx, "new", 0, []byte("x"), "")
			return err
		}},
		{"Grant", true, func(ctx context.Context, s store.Store, _ store.LeaseID) error {
			_, err := s.Grant(ctx, leaseTTL)
			return err
		}},
		{"Renew", true, func(ctx context.Context, s store.Store, lease store.LeaseID) error {
			return s.Renew(ctx, lease)
		}},
		{"Revoke", true, func(ctx context.Context, s store.Store, lease store.LeaseID) error {
			return s.Revoke(ctx, lease)
		}},
	}
}

func prepare(t *testing.T, h Harness) store.LeaseID {
	t.Helper()
	put(t, h.Store, "there", "x", "")
	lease, err := h.Store.Grant(t.Context(), leaseTTL)
	if err != nil {
		t.Fatal(err)
	}
	return lease
}

func callUnavailable(t *testing.T, h Harness, c call) {
	is := is.New(t)
	lease := prepare(t, h)
	h.Backing.Faults().SetUnavailable(true)
	err := c.run(t.Context(), h.Store, lease)
	is.True(errors.Is(err, store.ErrUnavailable))
	is.True(!errors.Is(err, store.ErrUncertain))
	h.Backing.Faults().SetUnavailable(false)
	is.NoErr(c.run(t.Context(), h.Store, lease))
}

// callDelayed abandons a call while the store delays it.
func callDelayed(t *testing.T, h Harness, c call) {
	is := is.New(t)
	lease := prepare(t, h)
	h.Backing.Faults().SetDelay(time.Hour)
	defer h.Backing.Faults().SetDelay(0)
	err := abandon(t, h, func(ctx context.Context) error { return c.run(ctx, h.Store, lease) })
	is.Equal(errors.Is(err, store.ErrUncertain), c.writes)
	is.Equal(errors.Is(err, store.ErrUnavailable), !c.writes)
	is.True(errors.Is(err, context.Canceled))
}

// abandon cancels the call when the store has accepted it, and returns its error.
func abandon(t *testing.T, h Harness, run func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	result := make(chan error, 1)
	go func() { result <- run(ctx) }()
	<-h.Backing.Faults().Delayed()
	cancel()
	return <-result
}

func callLost(t *testing.T, h Harness, c call) {
	is := is.New(t)
	lease := prepare(t, h)
	h.Backing.Faults().LoseNextResponse()
	err := c.run(t.Context(), h.Store, lease)
	is.True(errors.Is(err, store.ErrUncertain))
	is.True(!errors.Is(err, store.ErrUnavailable))
}

func unavailableEndsWatch(t *testing.T, h Harness) {
	is := is.New(t)
	first := put(t, h.Store, "k", "one", "")
	result := watch(t, h.Store, "k", first.Revision)
	h.Backing.Faults().SetUnavailable(true)
	is.True(errors.Is((<-result).err, store.ErrUnavailable))
}

func delayedWrite(t *testing.T, h Harness) {
	is := is.New(t)
	h.Backing.Faults().SetDelay(time.Hour)
	defer h.Backing.Faults().SetDelay(0)
	err := abandon(t, h, func(ctx context.Context) error {
		_, err := h.Store.CompareAndSwap(ctx, "k", 0, []byte("late"), "")
		return err
	})
	is.True(errors.Is(err, store.ErrUncertain))
	h.Backing.Faults().SetDelay(0)
	got := <-watch(t, h.Store, "k", 0)
	is.NoErr(got.err)
	is.Equal(string(got.entry.Value), "late")
}

func lostWrite(t *testing.T, h Harness) {
	is := is.New(t)
	h.Backing.Faults().LoseNextResponse()
	_, err := h.Store.CompareAndSwap(t.Context(), "k", 0, []byte("mine"), "")
	is.True(errors.Is(err, store.ErrUncertain))
	read, err := h.Store.Get(t.Context(), "k")
	is.NoErr(err)
	is.Equal(string(read.Value), "mine")
}

func lostOnce(t *testing.T, h Harness) {
	is := is.New(t)
	h.Backing.Faults().LoseNextResponse()
	_, err := h.Store.CompareAndSwap(t.Context(), "k", 0, []byte("one"), "")
	is.True(errors.Is(err, store.ErrUncertain))
	_, err = h.Store.CompareAndSwap(t.Context(), "other", 0, []byte("two"), "")
	is.NoErr(err)
}

func lostConflict(t *testing.T, h Harness) {
	is := is.New(t)
	put(t, h.Store, "k", "one", "")
	h.Backing.Faults().LoseNextResponse()
	_, err := h.Store.CompareAndSwap(t.Context(), "k", 0, []byte("two"), "")
	is.True(errors.Is(err, store.ErrConflict))
}

func staleReads(t *testing.T, h Harness) {
	is := is.New(t)
	first := put(t, h.Store, "k", "one", "")
	h.Backing.ServeStaleReads(true)
	_, err := h.Store.CompareAndSwap(t.Context(), "k", first.Revision, []byte("two"), "")
	is.NoErr(err)
	read, err := h.Store.Get(t.Context(), "k")
	is.NoErr(err)
	is.Equal(read.Revision, first.Revision)
	h.Backing.ServeStaleReads(false)
	read, err = h.Store.Get(t.Context(), "k")
	is.NoErr(err)
	is.Equal(string(read.Value), "two")
}
