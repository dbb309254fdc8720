package fleet

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against slots that are counted although no connection can reach them.
func TestUsableSlotsAreBoundedByConnections(t *testing.T) {
	is := is.New(t)
	s := &Service{MaxConnections: 130}
	is.Equal(s.UsableSlots(3), 3)
	is.Equal(s.UsableSlots(MaxSlots), 130)
	is.Equal((&Service{}).UsableSlots(3), 3) // no bound is known
}
