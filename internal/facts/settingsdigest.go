package facts

import (
	"slices"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// SettingsDigest returns a digest of the operators' settings, or 0 if there is no configuration.
func SettingsDigest(settings fleet.OperatorSettings) uint64 {
	if settings.Config == nil {
		return 0
	}
	var h hasher
	h.text(string(settings.Config))
	for _, domain := range slices.Sorted(slices.Values(settings.DomainsOut)) {
		h.text(domain)
	}
	return max(1, h.sum())
}
