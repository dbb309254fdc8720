package ctl

import (
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// PlatformState is what instances read from the platform's store.
type PlatformState struct {
	// ConfigVersion is the version of the operators' configuration, or 0 if there is none that can be read.
	ConfigVersion int64 `json:"configuration_version"`
	// Servers is the number of entries that describe a backend server.
	Servers int `json:"servers"`
	// Unreadable holds the entries that instances ignore.
	Unreadable []fleet.UnreadableEntry `json:"unreadable,omitempty"`
}

// errEntriesUnreadable makes check fail after it has listed the entries.
var errEntriesUnreadable = errors.New("some entries of the store are ignored; the programs that wrote them must correct or remove them")
