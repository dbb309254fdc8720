package main

import (
	"context"
	"slices"
	"strings"

	"peridotmoor.org/peridotmoor/internal/ctl"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/holder"
	"peridotmoor.org/peridotmoor/platform"
)

// readPlatform reads what instances read from the platform's store at address (host:port).
func readPlatform(ctx context.Context, address string) (ctl.PlatformState, error) {
	client := platform.NewStoreClient(address)
	source := platform.StoreSource{Store: client}
	listing, err := source.Listing(ctx)
	if err != nil {
		return ctl.PlatformState{}, err
	}
	settings, err := source.OperatorSettings(ctx)
	if err != nil {
		return ctl.PlatformState{}, err
	}
	unreadable, err := holder.CheckStore(ctx, client)
	if err != nil {
		return ctl.PlatformState{}, err
	}
	state := ctl.PlatformState{Servers: len(listing.Servers), Unreadable: append(unreadable, listing.Unreadable...)}
	if settings.Config != nil {
		config, err := platform.DecodeConfig(settings.Config)
		if err != nil {
			state.Unreadable = append(state.Unreadable, platform.UnreadableConfig(err))
		} else {
			state.ConfigVersion = config.Version
		}
	}
	slices.SortFunc(state.Unreadable, func(a, b fleet.UnreadableEntry) int { return strings.Compare(a.Key, b.Key) })
	return state, nil
}
