package ports

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against two plays that get the same port, because neither listens on it yet.
func TestReservationsAreDisjoint(t *testing.T) {
	is := is.New(t)
	reserved := map[string]bool{}
	for range 100 {
		r, err := Reserve(45)
		is.NoErr(err)
		t.Cleanup(r.Release)
		is.Equal(len(r.Addresses), 45)
		for _, address := range r.Addresses {
			is.True(!reserved[address])
			reserved[address] = true
		}
	}
}

// Guards against ports that stay reserved for ever.
func TestReleasedPortsAreReservedAgain(t *testing.T) {
	is := is.New(t)
	for range 3 * blocks {
		r, err := Reserve(1)
		is.NoErr(err)
		r.Release()
	}
}

// Guards against a reservation that leaves guards behind when too few ports are free.
func TestFailedReservationReleasesItsPorts(t *testing.T) {
	is := is.New(t)
	_, err := Reserve(lastPort)
	is.True(err != nil)
	r, err := Reserve(1)
	is.NoErr(err)
	r.Release()
}
