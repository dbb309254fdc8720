package storetest

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/store"
)

// leaseTTL is long enough that no lease expires during the tests.
const leaseTTL = time.Hour

// watchTimeout ends a watch that does not return, so that the test fails instead of hanging.
const watchTimeout = 30 * time.Second

// behaviour returns the test cases without faults.
func behaviour() []contractCase {
	return []contractCase{
		{"get of a missing key", getMissing},
		{"keys with unusual characters", unusualKeys},
		{"compare-and-swap", compareAndSwap},
		{"conflict returns the current entry", conflict},
		{"list by prefix in key order", listByPrefix},
		{"value of 1 MB and above", largeValue},
		{"watch returns a change", watchChange},
		{"watch returns the first write of a key", watchFirstWrite},
		{"watch returns an earlier change", watchEarlierChange},
		{"watch of a deleted key", watchDeleted},
		{"watch ends with its context", watchContextEnds},
		{"end of a lease deletes its keys", leaseEnds},
		{"revoked lease deletes its keys", leaseRevoked},
		{"an overwritten key is detached from its lease", leaseDetached},
		{"calls on an ended lease", callsOnEndedLease},
	}
}

func put(t *testing.T, s store.Store, key, value string, lease store.LeaseID) store.Entry {
	t.Helper()
	entry, err := s.CompareAndSwap(t.Context(), key, 0, []byte(value), lease)
	if err != nil {
		t.Fatalf("first write of %s: %v", key, err)
	}
	return entry
}

func getMissing(t *testing.T, h Harness) {
	is := is.New(t)
	_, err := h.Store.Get(t.Context(), "absent")
	is.True(errors.Is(err, store.ErrNotFound))
}

func unusualKeys(t *testing.T, h Harness) {
	is := is.New(t)
	for _, key := range []string{"shards/bosho/0", "a b", "a%2Fb", "a//b", "a/../b", "墓所", "q?x=1#y", "a/"} {
		put(t, h.Store, key, key, "")
		entry, err := h.Store.Get(t.Context(), key)
		is.NoErr(err)
		is.Equal(entry.Key, key)
		is.Equal(string(entry.Value), key)
	}
	entries, err := h.Store.List(t.Context(), "")
	is.NoErr(err)
	is.Equal(len(entries), 8)
}

func compareAndSwap(t *testing.T, h Harness) {
	is := is.New(t)
	first := put(t, h.Store, "k", "one", "")
	is.True(first.Revision > 0)
	is.Equal(string(first.Value), "one")
	second, err := h.Store.CompareAndSwap(t.Context(), "k", first.Revision, nil, "")
	is.NoErr(err)
	is.True(second.Revision > first.Revision)
	read, err := h.Store.Get(t.Context(), "k")
	is.NoErr(err)
	is.Equal(read.Revision, second.Revision)
	is.Equal(len(read.Value), 0)
}

func conflict(t *testing.T, h Harness) {
	is := is.New(t)
	first := put(t, h.Store, "k", "one", "")
	for _, revision := range []uint64{0, first.Revision + 1} {
		current, err := h.Store.CompareAndSwap(t.Context(), "k", revision, []byte("two"), "")
		is.True(errors.Is(err, store.ErrConflict))
		is.Equal(current.Revision, first.Revision)
		is.Equal(string(current.Value), "one")
	}
	current, err := h.Store.CompareAndSwap(t.Context(), "absent", 7, []byte("x"), "")
	is.True(errors.Is(err, store.ErrConflict))
	is.Equal(current.Revision, uint64(0))
}

func listByPrefix(t *testing.T, h Harness) {
	is := is.New(t)
	for _, key := range []string{"b/2", "a/1", "b/1", "c"} {
		put(t, h.Store, key, "v"+key, "")
	}
	entries, err := h.Store.List(t.Context(), "b/")
	is.NoErr(err)
	is.Equal(len(entries), 2)
	is.Equal(entries[0].Key, "b/1")
	is.Equal(string(entries[1].Value), "vb/2")
	is.True(entries[1].Revision > 0)
	entries, err = h.Store.List(t.Context(), "none")
	is.NoErr(err)
	is.Equal(len(entries), 0)
}

func largeValue(t *testing.T, h Harness) {
	is := is.New(t)
	largest := bytes.Repeat([]byte{0, 255, '\n'}, store.MaxValueBytes/3+1)[:store.MaxValueBytes]
	entry, err := h.Store.CompareAndSwap(t.Context(), "k", 0, largest, "")
	is.NoErr(err)
	read, err := h.Store.Get(t.Context(), "k")
	is.NoErr(err)
	is.True(bytes.Equal(read.Value, largest))
	_, err = h.Store.CompareAndSwap(t.Context(), "k", entry.Revision, append(largest, 1), "")
	is.True(errors.Is(err, store.ErrTooLarge))
	read, err = h.Store.Get(t.Context(), "k")
	is.NoErr(err)
	is.Equal(read.Revision, entry.Revision)
}

// watched is the result of a watch.
type watched struct {
	entry store.Entry
	err   error
}

func watch(t *testing.T, s store.Store, key string, after uint64) <-chan watched {
	result := make(chan watched, 1)
	ctx, cancel := context.WithTimeout(t.Context(), watchTimeout)
	t.Cleanup(cancel)
	go func() {
		entry, err := s.Watch(ctx, key, after)
		result <- watched{entry, err}
	}()
	return result
}

func watchChange(t *testing.T, h Harness) {
	is := is.New(t)
	first := put(t, h.Store, "k", "one", "")
	result := watch(t, h.Store, "k", first.Revision)
	put(t, h.Store, "other", "x", "")
	second, err := h.Store.CompareAndSwap(t.Context(), "k", first.Revision, []byte("two"), "")
	is.NoErr(err)
	got := <-result
	is.NoErr(got.err)
	is.Equal(got.entry.Revision, second.Revision)
	is.Equal(string(got.entry.Value), "two")
}

func watchFirstWrite(t *testing.T, h Harness) {
	is := is.New(t)
	result := watch(t, h.Store, "k", 0)
	put(t, h.Store, "k", "one", "")
	got := <-result
	is.NoErr(got.err)
	is.Equal(string(got.entry.Value), "one")
}

func watchEarlierChange(t *testing.T, h Harness) {
	is := is.New(t)
	first := put(t, h.Store, "k", "one", "")
	h.Backing.Put("k", []byte("two"))
	got := <-watch(t, h.Store, "k", first.Revision)
	is.NoErr(got.err)
	is.Equal(string(got.entry.Value), "two")
}

func watchDeleted(t *testing.T, h Harness) {
	is := is.New(t)
	first := put(t, h.Store, "k", "one", "")
	result := watch(t, h.Store, "k", first.Revision)
	h.Backing.Delete("k")
	is.True(errors.Is((<-result).err, store.ErrNotFound))
}

func watchContextEnds(t *testing.T, h Harness) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := h.Store.Watch(ctx, "k", 0)
	is.True(errors.Is(err, context.DeadlineExceeded))
}

func leaseEnds(t *testing.T, h Harness) {
	is := is.New(t)
	lease, err := h.Store.Grant(t.Context(), leaseTTL)
	is.NoErr(err)
	first := put(t, h.Store, "k", "one", lease)
	put(t, h.Store, "kept", "one", "")
	is.NoErr(h.Store.Renew(t.Context(), lease))
	result := watch(t, h.Store, "k", first.Revision)
	is.True(h.Backing.ExpireLease(lease))
	is.True(errors.Is((<-result).err, store.ErrNotFound))
	_, err = h.Store.Get(t.Context(), "k")
	is.True(errors.Is(err, store.ErrNotFound))
	_, err = h.Store.Get(t.Context(), "kept")
	is.NoErr(err)
	again := put(t, h.Store, "k", "two", "")
	is.True(again.Revision > first.Revision)
}

func leaseRevoked(t *testing.T, h Harness) {
	is := is.New(t)
	lease, err := h.Store.Grant(t.Context(), leaseTTL)
	is.NoErr(err)
	put(t, h.Store, "k", "one", lease)
	is.NoErr(h.Store.Revoke(t.Context(), lease))
	_, err = h.Store.Get(t.Context(), "k")
	is.True(errors.Is(err, store.ErrNotFound))
}

func leaseDetached(t *testing.T, h Harness) {
	is := is.New(t)
	lease, err := h.Store.Grant(t.Context(), leaseTTL)
	is.NoErr(err)
	first := put(t, h.Store, "k", "one", lease)
	_, err = h.Store.CompareAndSwap(t.Context(), "k", first.Revision, []byte("two"), "")
	is.NoErr(err)
	is.NoErr(h.Store.Revoke(t.Context(), lease))
	read, err := h.Store.Get(t.Context(), "k")
	is.NoErr(err)
	is.Equal(string(read.Value), "two")
}

func callsOnEndedLease(t *testing.T, h Harness) {
	is := is.New(t)
	lease, err := h.Store.Grant(t.Context(), leaseTTL)
	is.NoErr(err)
	is.NoErr(h.Store.Revoke(t.Context(), lease))
	is.True(errors.Is(h.Store.Renew(t.Context(), lease), store.ErrNotFound))
	is.True(errors.Is(h.Store.Revoke(t.Context(), lease), store.ErrNotFound))
	_, err = h.Store.CompareAndSwap(t.Context(), "k", 0, []byte("x"), lease)
	is.True(errors.Is(err, store.ErrNotFound))
}
