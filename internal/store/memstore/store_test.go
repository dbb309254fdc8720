package memstore_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/store"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
	"peridotmoor.org/peridotmoor/internal/store/storetest"
)

func TestContract(t *testing.T) {
	storetest.Run(t, func(t *testing.T) storetest.Harness {
		s := memstore.New()
		return storetest.Harness{Store: s, Backing: s}
	})
}

// Guards against a lease that outlives its ttl, or expires although it was renewed.
func TestLeaseExpiresAfterTTL(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := memstore.New()
		ctx := context.Background()
		lease, err := s.Grant(ctx, 3*time.Second)
		is.NoErr(err)
		_, err = s.CompareAndSwap(ctx, "k", 0, []byte("x"), lease)
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		is.NoErr(s.Renew(ctx, lease))
		time.Sleep(2999 * time.Millisecond)
		_, err = s.Get(ctx, "k")
		is.NoErr(err)
		time.Sleep(2 * time.Millisecond)
		_, err = s.Get(ctx, "k")
		is.True(errors.Is(err, store.ErrNotFound))
		is.True(errors.Is(s.Renew(ctx, lease), store.ErrNotFound))
	})
}
