package holder

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/kvstore"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/store"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
	"peridotmoor.org/peridotmoor/platform"
)

// lateStore is the way to a store that takes nothing until it is opened: the calls wait in
// the kernel, also after the client has given them up.
type lateStore struct {
	listener net.Listener
	backing  *kvstore.Server
	statuses chan int
}

func newLateStore(t *testing.T) *lateStore {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return &lateStore{listener: listener, backing: kvstore.New(), statuses: make(chan int, 8)}
}

func (s *lateStore) client() store.EraStore {
	return platform.NewStoreClient(s.listener.Addr().String())
}

// open lets the store take the calls.
func (s *lateStore) open() {
	go func() {
		_ = http.Serve(s.listener, s) // ends with the listener
	}()
}

func (s *lateStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
	s.backing.ServeHTTP(recorder, r.WithContext(context.WithoutCancel(r.Context())))
	s.statuses <- recorder.status
}

// statusRecorder keeps the status of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Guards against a call to the store that takes effect after its holder or candidate has
// given it up, as its bytes were in the kernel: it would bring back the owners before the
// last move, the key of an instance that is no holder, or end a successor's lease.
func TestLateCallsToTheStoreChangeNothing(t *testing.T) {
	const leaseTime = time.Hour // does not end in a test
	for name, c := range map[string]struct {
		// late makes the call that comes late, in the tenure "first", whose lease was revoked.
		late   func(ctx context.Context, s store.EraStore, record *recordStore, lease store.LeaseID) error
		status int
	}{
		"record": {func(ctx context.Context, s store.EraStore, record *recordStore, _ store.LeaseID) error {
			record.store = s
			return record.write(ctx, owners.Record{Epoch: 1, Holder: "first"})
		}, http.StatusPreconditionFailed},
		"key, for which there is none": {func(ctx context.Context, s store.EraStore, _ *recordStore, lease store.LeaseID) error {
			_, err := s.CompareAndSwap(ctx, KeyHolder+"/other", 0, []byte("first"), lease)
			return err
		}, http.StatusNotFound},
		"key, for which there is a successor's": {func(ctx context.Context, s store.EraStore, _ *recordStore, lease store.LeaseID) error {
			_, err := s.CompareAndSwap(ctx, KeyHolder, 0, []byte("first"), lease)
			return err
		}, http.StatusNotFound},
		"renewal": {func(ctx context.Context, s store.EraStore, _ *recordStore, lease store.LeaseID) error {
			return s.Renew(ctx, lease)
		}, http.StatusNotFound},
		"release": {func(ctx context.Context, s store.EraStore, _ *recordStore, lease store.LeaseID) error {
			return s.Revoke(ctx, lease)
		}, http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			late := newLateStore(t)
			backing := late.backing.Store()
			first, second := &recordStore{store: backing, tenureName: "first"}, &recordStore{store: backing, tenureName: "second"}
			_, err := first.claim(t.Context())
			is.NoErr(err)
			lease, err := backing.Grant(t.Context(), leaseTime)
			is.NoErr(err)

			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			is.True(errors.Is(c.late(ctx, late.client(), first, lease), store.ErrUncertain)) // given up
			is.NoErr(backing.Revoke(t.Context(), lease))
			successor := takeOver(t, backing, second)
			late.open()
			is.Equal(<-late.statuses, c.status)

			is.NoErr(backing.Renew(t.Context(), successor))
			key, err := backing.Get(t.Context(), KeyHolder)
			is.NoErr(err)
			is.Equal(string(key.Value), "second")
			record, err := second.read(t.Context())
			is.NoErr(err)
			is.Equal(record.Holder, "second")
		})
	}
}

// takeOver makes the tenure the holder, and returns its lease.
func takeOver(t *testing.T, s *memstore.Store, record *recordStore) store.LeaseID {
	t.Helper()
	lease, err := s.Grant(t.Context(), time.Hour)
	if err == nil {
		_, err = s.CompareAndSwap(t.Context(), KeyHolder, 0, []byte(record.tenureName), lease)
	}
	if err == nil {
		_, err = record.claim(t.Context())
	}
	if err != nil {
		t.Fatal(err)
	}
	return lease
}
