package publish

import (
	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
	"peridotmoor.org/peridotmoor/internal/settings"
	"peridotmoor.org/peridotmoor/internal/settings/version"
)

// InstalledSettings is the settings version in effect. It is immutable.
type InstalledSettings struct {
	Version version.Version
	Tree    *settings.Tree
	// value is the encoded version as the store holds it.
	value []byte
}

// newSettingsValue compresses a stored value for transfer between instances.
func newSettingsValue(number uint64, value []byte) exchange.SettingsValue {
	return exchange.SettingsValue{Version: number, Value: version.Compress(value)}
}

// decodeSettings decodes and validates a value from a peer or the store.
func decodeSettings(value exchange.SettingsValue) (*InstalledSettings, error) {
	stored, err := version.Decompress(value.Value)
	if err != nil {
		return nil, err
	}
	v, err := version.Decode(stored)
	if err != nil {
		return nil, err
	}
	if v.Number != value.Version {
		return nil, errors.Wrapf(version.ErrCorrupt, "settings value announced as version %d contains version %d", value.Version, v.Number)
	}
	tree, err := v.Tree()
	if err != nil {
		return nil, err
	}
	return &InstalledSettings{Version: v, Tree: tree, value: stored}, nil
}
