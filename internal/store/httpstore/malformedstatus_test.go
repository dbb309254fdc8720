package httpstore

import (
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/store"
	"peridotmoor.org/peridotmoor/internal/store/storetest"
)

func TestMalformedStatusOfTheStoreProvesNothing(t *testing.T) {
	storetest.RunMalformedStatus(t, "ok", func(t *testing.T, address string) store.Store {
		s, err := New("http://"+address, 1)
		is.New(t).NoErr(err)
		return s
	})
}
