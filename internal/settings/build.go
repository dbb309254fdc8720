package settings

import (
	"cmp"
	"slices"
	"strconv"

	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/textlist"
)

// build compiles a document that has passed all checks.
func build(doc *document, text string) *Tree {
	t := &Tree{
		doc:           doc,
		text:          text,
		services:      map[string]*Service{},
		domains:       map[string]Domain{},
		servers:       map[string]Server{},
		control:       buildControl(doc.defaultChain()),
		defaultPolicy: buildRequestPolicy(doc.defaultChain(), false),
		retired:       map[string]bool{},
		teams:         map[string]Team{},
		teamByKey:     map[fleet.KeyDigest]Team{},
	}
	t.buildDomains()
	t.buildServices()
	t.buildServers()
	t.buildTeams()
	if s := doc.sections[instancesSection]; s != nil {
		for _, item := range textlist.Split(s.values["retired"]) {
			t.retired[item] = true
		}
	}
	return t
}

func buildControl(c chain) Control {
	return Control{
		PromiseTTL:               c.duration("promise_ttl"),
		RenewInterval:            c.duration("renew_interval"),
		MaxDeliveryTime:          c.duration("max_delivery"),
		MaxClockSkew:             c.duration("max_clock_skew"),
		MaxRecords:               c.integer("record_limit"),
		MaxRecordedResponseBytes: c.integer("answer_limit"),
		MaxMovesPerSecond:        c.integer("max_moves"),
		ExchangeInterval:         c.duration("exchange_interval"),
		QuarantineDuration:       c.duration("quarantine_time"),
	}
}

func buildRequestPolicy(c chain, keyed bool) RequestPolicy {
	return RequestPolicy{
		Timeout:         c.duration("timeout"),
		IdleTimeout:     c.duration("idle_timeout"),
		Priority:        c.integer("priority"),
		QueueLimit:      c.integer("queue_limit"),
		Hedge:           c.bool("hedge") && !keyed,
		RetryLimit:      c.integer("retry_limit"),
		RecordRetention: c.duration("record_retention"),
	}
}

func (t *Tree) buildDomains() {
	for _, s := range t.doc.inOrder {
		if s.level == LevelDomain {
			t.domains[s.domain] = Domain{Name: s.domain, Region: s.values["region"], OutOfService: s.values["state"] == stateOut}
		}
	}
}

func (t *Tree) buildServices() {
	for _, s := range t.doc.inOrder {
		if s.level != LevelService {
			continue
		}
		own := chain{s}
		service := &Service{
			Name:           s.service,
			Keyed:          own.bool("keyed"),
			Shards:         own.integer("shards"),
			OutOfService:   s.values["state"] == stateOut,
			domains:        map[string]*domainPolicies{},
			AllowAnonymous: own.bool("allow_anonymous"),
		}
		service.policy = buildRequestPolicy(t.doc.requestChain(s.service, "", ""), service.Keyed)
		service.servers = make([][]Server, service.Shards)
		t.services[s.service] = service
	}
	t.serviceNames = sortedKeys(t.services)
	t.buildServiceDomains()
}

func (t *Tree) buildServiceDomains() {
	for _, s := range t.doc.inOrder {
		if s.level != LevelServiceDomain && s.level != LevelRange {
			continue
		}
		service := t.services[s.service]
		policies := service.domains[s.domain]
		if policies == nil {
			policies = &domainPolicies{policy: buildRequestPolicy(t.doc.requestChain(s.service, s.domain, ""), service.Keyed)}
			service.domains[s.domain] = policies
		}
		if s.level == LevelRange {
			r := s.keyRange()
			r.policy = buildRequestPolicy(t.doc.requestChain(s.service, s.domain, s.rangeName), service.Keyed)
			policies.ranges = append(policies.ranges, r)
		}
	}
	for _, service := range t.services {
		for _, policies := range service.domains {
			slices.SortFunc(policies.ranges, func(a, b keyRange) int { return cmp.Compare(a.from, b.from) })
		}
	}
}

// keyRange returns the bounds that a range section sets.
func (s *section) keyRange() keyRange {
	to, bounded := s.values["to"]
	return keyRange{name: s.rangeName, from: s.values["from"], to: to, unbounded: !bounded || to == ""}
}

func (t *Tree) buildServers() {
	for _, s := range t.doc.inOrder {
		if s.level == LevelServer {
			t.servers[s.server] = t.buildServer(s)
		}
	}
	for _, server := range sortedValues(t.servers) {
		service := t.services[server.Service]
		service.servers[server.Shard] = append(service.servers[server.Shard], server)
	}
}

func (t *Tree) buildServer(s *section) Server {
	name, service, domain := s.server, s.values["service"], s.values["domain"]
	c := t.doc.serverChain(name, service, domain)
	outBy := t.doc.outOfServiceBy(name, service, domain)
	return Server{
		Name:    name,
		Service: service,
		Domain:  domain,
		Region:  t.domains[domain].Region,
		Address: s.values["address"],
		Shard:   shardOf(s, t.services[service].Shards),
		Policy: ServerPolicy{
			Slots:          c.integer("slots"),
			Connections:    c.integer("connections"),
			ColdRate:       c.integer("cold_rate"),
			ChecksTokens:   c.bool("checks_tokens"),
			InService:      outBy == "",
			OutOfServiceBy: outBy,
		},
	}
}

// shardOf returns the shard that a server section sets, or the default shard of the server.
func shardOf(s *section, shards int) int {
	if n, err := strconv.Atoi(s.values["shard"]); err == nil {
		return n
	}
	return DefaultShard(s.server, shards)
}
