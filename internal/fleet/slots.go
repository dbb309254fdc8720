package fleet

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Slots is the number of requests that a backend server runs at the same time.
type Slots int

// MaxSlots is more than any server has: each running request occupies a connection of the
// server, and a process has fewer descriptors than this. Keys and requests are divided by
// slots, so that a false number would take those of all other servers.
const MaxSlots = 1 << 16

// UnmarshalJSON implements json.Unmarshaler. It accepts 1 to MaxSlots.
func (s *Slots) UnmarshalJSON(text []byte) error {
	var n int64
	if err := json.Unmarshal(text, &n); err != nil || n < 1 || n > MaxSlots {
		return errors.Errorf("%.40s slots are not a number from 1 to %d", text, MaxSlots)
	}
	*s = Slots(n)
	return nil
}
