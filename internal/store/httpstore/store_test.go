package httpstore

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/store"
)

// Guards against a watch that waits forever for a store that does not respond.
func TestWatchDetectsUnresponsiveStore(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
	}))
	defer server.Close()
	s, err := New(server.URL, 1)
	is.NoErr(err)
	defer s.Close()
	s.maxPoll, s.pollGrace = time.Millisecond, time.Millisecond
	_, err = s.Watch(t.Context(), "k", 0)
	is.True(errors.Is(err, store.ErrUnavailable))
}

// Guards against a watch that returns because nothing changed during one poll.
func TestWatchContinuesAfterEmptyPolls(t *testing.T) {
	is := is.New(t)
	polls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		polls++
		if polls < 3 {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		w.Header().Set(HeaderRevision, "7")
		_, _ = w.Write([]byte("x"))
	}))
	defer server.Close()
	s, err := New(server.URL, 1)
	is.NoErr(err)
	defer s.Close()
	entry, err := s.Watch(t.Context(), "k", 6)
	is.NoErr(err)
	is.Equal(entry.Revision, uint64(7))
	is.Equal(polls, 3)
}

func TestNewRejectsInvalidAddresses(t *testing.T) {
	is := is.New(t)
	for _, address := range []string{"", "127.0.0.1:7000", "https://h:1", "http://", "::"} {
		_, err := New(address, 1)
		is.True(err != nil)
	}
}
