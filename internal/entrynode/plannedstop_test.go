package entrynode

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/holder"
)

// Guards against a fleet that has no holder while all of its instances stop at the same
// time but still finish requests.
func TestHolderStaysWhileAllInstancesStop(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	before, err := f.store.Store().Get(t.Context(), holder.KeyHolder)
	is.NoErr(err)
	for _, i := range f.instances {
		i.stop()
	}
	waitFor(t, "all instances are not ready", func() bool {
		for _, i := range f.instances {
			if i.ready() {
				return false
			}
		}
		return true
	})
	for n := range 15 {
		status, _ := sendRequest(http.DefaultClient, f.instances[n%3], fmt.Sprintf("s-%d", n), n*3001)
		is.Equal(status, http.StatusOK)
	}
	after, err := f.store.Store().Get(t.Context(), holder.KeyHolder)
	is.NoErr(err)
	is.Equal(after.Value, before.Value)
	for _, i := range f.instances {
		is.NoErr(<-i.done)
	}
	is.Equal(f.conflicts, nil)
}
