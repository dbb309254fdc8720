package router

import (
	"sync"

	"peridotmoor.org/peridotmoor/internal/admission"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/authority/keeper"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/membership"
	"peridotmoor.org/peridotmoor/internal/metrics"
	"peridotmoor.org/peridotmoor/internal/peer"
	"peridotmoor.org/peridotmoor/internal/publish"
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
	"peridotmoor.org/peridotmoor/internal/quarantine"
	"peridotmoor.org/peridotmoor/internal/record"
	"peridotmoor.org/peridotmoor/internal/request"
	"peridotmoor.org/peridotmoor/internal/settings"
	"peridotmoor.org/peridotmoor/internal/store"
	"peridotmoor.org/peridotmoor/internal/tracing"
)

// parts are what the shards of one instance share.
type parts struct {
	self       authority.Member
	log        *events.Logger
	tracer     *tracing.Tracer
	metrics    *metrics.Registry
	store      store.Store
	peers      *peer.Client
	keeper     *keeper.Keeper
	members    *membership.Tracker
	publisher  *publish.Publisher
	mirror     *record.Mirror
	copier     record.Copier
	quarantine *quarantine.List
	// reports counts the goroutines that follow up a hand-over.
	reports sync.WaitGroup
}

// tree returns the settings in effect. It is not nil once units exist.
func (p *parts) tree() *settings.Tree {
	return p.publisher.Settings().Tree
}

// announce tells all instances that this one holds the shard.
func (p *parts) announce(shard key.ShardID, tenure *authority.Tenure) {
	p.publisher.AnnounceShards(exchange.ShardEntry{
		Shard:   shard,
		Token:   tenure.Token,
		Holder:  tenure.Holder,
		Address: p.self.Address,
	})
}

// recordOptions returns the bounds of a service's request records in effect.
func (p *parts) recordOptions(service string) record.Options {
	control := p.tree().Control()
	return record.Options{
		Retention:    p.tree().RequestPolicy(service, p.self.Domain, "").RecordRetention,
		MaxClockSkew: control.MaxClockSkew,
		Limit:        control.RecordLimit,
	}
}

// priority orders the queue by the settings of the request's key.
func (p *parts) priority(r *request.Request) admission.Priority {
	return admission.Priority(p.tree().RequestPolicy(r.Service, p.self.Domain, r.Key).Priority)
}
