package holder

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// Guards against two holders when a network partition resets connections: an instance that
// the holder refuses must not replace it while the holder has its key.
func TestRefusedConnectionIsNoEndOfTheHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		shared := memstore.New()
		lease, err := shared.Grant(t.Context(), time.Minute)
		is.NoErr(err)
		key, err := Identity{Name: "entry-2", Incarnation: "CXBMA3T3", Address: "127.0.0.1:1"}.encode() // nothing listens there
		is.NoErr(err)
		_, err = shared.CompareAndSwap(t.Context(), KeyHolder, 0, key, lease)
		is.NoErr(err)
		_, end := startElector(t, shared, "entry-1", 0.8)
		for range 30 {
			time.Sleep(time.Second)
			is.Equal(currentHolder(t, shared), "entry-2")
		}
		is.NoErr(shared.Revoke(t.Context(), lease))
		time.Sleep(time.Second)
		is.Equal(currentHolder(t, shared), "entry-1") // once the key is gone
		end()
	})
}
