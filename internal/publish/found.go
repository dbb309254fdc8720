package publish

import (
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
)

// found is a settings value from the store.
type found struct {
	value exchange.SettingsValue
	done  chan error
}
