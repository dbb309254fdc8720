package publish

import (
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
)

// storeValue passes a settings value from the store to the event loop; done receives the
// result.
type storeValue struct {
	value exchange.SettingsValue
	done  chan error
}
