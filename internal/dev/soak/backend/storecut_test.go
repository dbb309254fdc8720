package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/store"
)

// Guards against a server that keeps its entry without status reports, or that does not
// have it back after a cut.
func TestEntryLapsesWithoutReports(t *testing.T) {
	is := is.New(t)
	s := newTestServers(t, false)
	listed := func() bool {
		_, err := s.kv.Get(t.Context(), storeKey(s.a.ID()))
		is.True(err == nil || errors.Is(err, store.ErrNotFound))
		return err == nil
	}
	await := func(wanted bool) {
		for listed() != wanted {
			time.Sleep(time.Millisecond)
		}
	}
	await(true)
	s.a.SetStoreUnreachable(true)
	await(false)
	s.a.SetStoreUnreachable(false)
	await(true)
}
