package publish

import (
	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
	"peridotmoor.org/peridotmoor/internal/settings"
	"peridotmoor.org/peridotmoor/internal/settings/version"
)

// Installed is the settings version in effect. It is immutable.
type Installed struct {
	Version version.Version
	Tree    *settings.Tree
	// value is the form that the store holds.
	value []byte
}

// load checks a value from a peer or the store.
func load(value exchange.SettingsValue) (*Installed, error) {
	v, err := version.Decode(value.Value)
	if err != nil {
		return nil, err
	}
	if v.Number != value.Version {
		return nil, errors.Wrapf(version.ErrCorrupt, "announced as version %d, holds version %d", value.Version, v.Number)
	}
	tree, err := v.Tree()
	if err != nil {
		return nil, err
	}
	return &Installed{Version: v, Tree: tree, value: value.Value}, nil
}
