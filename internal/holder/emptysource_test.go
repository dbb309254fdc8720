package holder

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// emptySource is a store without settings and servers.
type emptySource struct{}

func (emptySource) OperatorSettings(context.Context) (fleet.OperatorSettings, error) {
	return fleet.OperatorSettings{}, nil
}

func (emptySource) DomainsOut(context.Context) (fleet.DomainsOut, error) {
	return fleet.DomainsOut{}, nil
}

func (emptySource) Listing(context.Context) (fleet.Listing, error) {
	return fleet.Listing{}, nil
}
