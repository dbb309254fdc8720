package soak

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/dev/kvstore"
	"peridotmoor.org/peridotmoor/platform"
)

// Guards against instances that reach each other without the proxy between them, and
// against values of the store that the soak changes otherwise.
func TestPeerAddressesAreReplaced(t *testing.T) {
	is := is.New(t)
	kv := kvstore.New()
	server := httptest.NewServer(&storeFront{store: kv, proxies: map[string]string{"127.0.0.1:1": "127.0.0.1:2"}})
	defer server.Close()
	client := platform.NewStoreClient(server.Listener.Addr().String())
	for value, stored := range map[string]string{
		`{"address":"127.0.0.1:1"}`:  `{"address":"127.0.0.1:2"}`,
		`{"address":"127.0.0.1:15"}`: `{"address":"127.0.0.1:15"}`,
	} {
		_, err := client.CompareAndSwap(t.Context(), value, 0, []byte(value), "")
		is.NoErr(err)
		entry, err := kv.Store().Get(context.Background(), value)
		is.NoErr(err)
		is.Equal(string(entry.Value), stored)
	}
}
