package holder

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/store"
)

// Guards against a log from which nobody can tell that an instance left a holder and came
// back, and against a line for each of many changes.
func TestChangesOfFollowersAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := startLoggedHolder(t)
		second := link.Member{Instance: "entry-2/CXBMA3T3"}
		for range 2 {
			l := joinAs(t, h.Elector, second)
			time.Sleep(10 * time.Millisecond)
			l.Close()
			time.Sleep(10 * time.Millisecond)
		}
		defer joinAs(t, h.Elector, second).Close()
		time.Sleep(2 * followerLogInterval)
		for n := range 2 * maxLoggedNames {
			defer joinAs(t, h.Elector, link.Member{Instance: fmt.Sprintf("late-%03d/A", n)}).Close()
		}
		time.Sleep(2 * followerLogInterval)
		h.end()
		lines := h.log.of(t, events.FollowersChanged)
		is.Equal(len(lines), 4) // its own instance, the second one, the late ones, the end of the tenure
		is.Equal(lines[0]["names"], []any{"entry-1/K55N5AKH"})
		is.Equal(lines[1]["changes"], []any{"+entry-2/CXBMA3T3", "-entry-2/CXBMA3T3", "+entry-2/CXBMA3T3", "-entry-2/CXBMA3T3", "+entry-2/CXBMA3T3"})
		is.Equal(lines[1]["names"], []any{"entry-1/K55N5AKH", "entry-2/CXBMA3T3"})
		is.Equal(lines[1]["epoch"], float64(1))
		is.Equal(len(lines[2]["names"].([]any)), maxLoggedNames)
		is.Equal(len(lines[2]["changes"].([]any)), maxLoggedNames)
		is.Equal(lines[2]["omitted"], float64(maxLoggedNames))
		is.Equal(lines[2]["followers"], float64(2*maxLoggedNames+2))
	})
}

// Guards against a holder that goes on without its lease and tells nobody by whose consent.
func TestFollowersThatCountInPlaceOfTheLeaseAreLogged(t *testing.T) {
	for name, tc := range map[string]struct {
		// silent is an instance that follows the holder and returns no proof.
		silent bool
		sends  bool
	}{
		"whole fleet": {false, true},
		"half of it":  {true, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := startLoggedHolder(t)
				if tc.silent {
					defer joinAs(t, h.Elector, link.Member{Instance: "entry-2/CXBMA3T3"}).Close()
				}
				time.Sleep(2 * fleetRecordDelay)
				lost := store.ErrUnavailable
				h.store.renew.Store(&lost)
				time.Sleep(followerQuorumAfter + 3*time.Second)
				h.end()
				lines := h.log.of(t, events.HolderWithoutLease)
				is.Equal(len(lines), 1) // not one for each tick
				is.Equal(lines[0]["counted"], []any{"entry-1"})
				is.Equal(lines[0]["sends_orders"], tc.sends)
				is.Equal(lines[0]["epoch"], float64(1))
				unconfirmed := time.Duration(lines[0]["unconfirmed_ms"].(float64)) * time.Millisecond
				is.True(unconfirmed >= followerQuorumAfter && unconfirmed <= followerQuorumAfter+2*tickInterval)
			})
		})
	}
}
