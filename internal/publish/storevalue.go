package publish

import (
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
)

// storeValue is a settings value from the store.
type storeValue struct {
	value exchange.SettingsValue
	done  chan error
}
