package router

import (
	"sync"

	"peridotmoor.org/peridotmoor/internal/admission"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/authority/runner"
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

// components are shared by all shards of one instance.
type components struct {
	self         authority.Member
	log          *events.Logger
	tracer       *tracing.Tracer
	metrics      *metrics.Registry
	store        store.Store
	peers        *peer.Client
	runner       *runner.Runner
	members      *membership.Tracker
	publisher    *publish.Publisher
	mirror       *record.Mirror
	mirrorClient record.MirrorClient
	quarantine   *quarantine.List
	// slotReports tracks the goroutines that report the slots in use after a hand-over.
	slotReports sync.WaitGroup
}

// tree returns the settings in effect. It is not nil once a localShard exists.
func (c *components) tree() *settings.Tree {
	return c.publisher.Settings().Tree
}

// publishClaim informs all instances that this one holds the shard.
func (c *components) publishClaim(shard key.ShardID, tenure *authority.Tenure) {
	c.publisher.AnnounceShards(exchange.ShardEntry{
		Shard:   shard,
		Token:   tenure.Token,
		Holder:  tenure.Holder,
		Address: c.self.Address,
	})
}

// recordOptions returns the limits in effect for the request records of a service.
func (c *components) recordOptions(service string) record.Options {
	control := c.tree().Control()
	return record.Options{
		Retention:    c.tree().RequestPolicy(service, c.self.Domain, "").RecordRetention,
		MaxClockSkew: control.MaxClockSkew,
		MaxRecords:   control.MaxRecords,
	}
}

// priority returns the queueing priority that the settings give to the request's team and key.
func (c *components) priority(r *request.Request) admission.Priority {
	tree := c.tree()
	return admission.Priority(tree.QueuePriority(r.Team, tree.RequestPolicy(r.Service, c.self.Domain, r.Key).Priority))
}
