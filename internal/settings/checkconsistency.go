package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// maxTakeoverTime is the upper bound of promise_ttl + max_delivery. A key must be
// served again within 1 s after the holder of its shard is lost; the rank delays of the
// candidates and the round trips take up to 100 ms of that.
const maxTakeoverTime = 900 * time.Millisecond

// minRenewalsPerPromise is the smallest ratio of promise_ttl to renew_interval. With
// 3, the loss of one renewal does not end a tenure.
const minRenewalsPerPromise = 3

// maxShards is the upper bound of the shards of all services together; see section
// 3.4 of the design page.
const maxShards = 256

// checkConsistency checks settings against each other. It requires that each value
// is valid on its own and that all references are defined.
func (d *document) checkConsistency() {
	d.checkControl()
	d.checkShardTotal()
	addresses := map[string]string{}
	for _, s := range d.inOrder {
		switch s.level {
		case LevelService:
			d.checkService(s)
		case LevelServiceDomain:
			d.checkHedge(s)
		case LevelRange:
			d.checkHedge(s)
			d.checkRangeBounds(s)
		case LevelServer:
			d.checkServer(s, addresses)
		}
	}
	d.checkRangeOverlaps()
	d.checkTeams()
}

func (d *document) checkControl() {
	defaults := d.sections[defaultSection]
	if defaults == nil {
		return
	}
	c := buildControl(d.defaultChain())
	if c.RenewInterval*minRenewalsPerPromise > c.PromiseTTL {
		d.addIssue(defaults.issueAt("renew_interval", fmt.Sprintf("more than a third of promise_ttl (%s)", c.PromiseTTL), "lower it to at most "+(c.PromiseTTL/minRenewalsPerPromise).String()))
	}
	if sum := c.PromiseTTL + c.MaxDeliveryTime; sum > maxTakeoverTime {
		d.addIssue(defaults.issueAt("promise_ttl", fmt.Sprintf("with max_delivery (%s) it makes %s", c.MaxDeliveryTime, sum), "lower one of them so that the sum is at most "+maxTakeoverTime.String()))
	}
	if c.MaxDeliveryTime >= c.PromiseTTL-c.RenewInterval {
		d.addIssue(defaults.issueAt("max_delivery", fmt.Sprintf("leaves no time to send within promise_ttl (%s)", c.PromiseTTL), "lower it below "+(c.PromiseTTL-c.RenewInterval).String()))
	}
}

func (d *document) checkShardTotal() {
	total := 0
	for _, s := range d.inOrder {
		if s.level == LevelService {
			total += chain{s}.integer("shards")
		}
	}
	if total > maxShards {
		d.addIssue(Issue{Key: "shards", Value: strconv.Itoa(total), Reason: fmt.Sprintf("all services together have %d shards", total), Remedy: fmt.Sprintf("lower them to at most %d", maxShards)})
	}
}

// checkService reports the shards without a server of a service that is in service.
func (d *document) checkService(s *section) {
	d.checkHedge(s)
	if s.values["state"] == stateOut {
		return
	}
	shards := chain{s}.integer("shards")
	servers := make([]int, shards)
	for _, other := range d.inOrder {
		if other.level == LevelServer && other.values["service"] == s.service {
			if i := shardOf(other, shards); i < shards {
				servers[i]++
			}
		}
	}
	for i, n := range servers {
		if n == 0 {
			d.addIssue(s.issueAt("shards", fmt.Sprintf("shard %d of service %q has no server", i, s.service), fmt.Sprintf("set shard = %d in a server of the service, lower shards, or set state = out", i)))
		}
	}
}

// checkHedge reports hedge = true in a keyed service, where it has no effect.
func (d *document) checkHedge(s *section) {
	keyed := chain{d.sections[serviceSection(s.service)]}.bool("keyed")
	if keyed && s.values["hedge"] == "true" {
		d.addIssue(s.issueAt("hedge", "the service is keyed and each key has one owner", "remove the setting or set it to false"))
	}
}

func (d *document) checkRangeBounds(s *section) {
	if r := s.keyRange(); !r.unbounded && r.from >= r.to {
		d.addIssue(s.issueAt("to", fmt.Sprintf("not above from (%q)", r.from), "set the first key after the range, or remove to for a range without upper end"))
	}
}

// checkServer checks one server. addresses maps the addresses of the servers checked
// so far to their names.
func (d *document) checkServer(s *section, addresses map[string]string) {
	service := d.sections[serviceSection(s.values["service"])]
	if shards := (chain{service}).integer("shards"); s.has("shard") && shardOf(s, shards) >= shards {
		d.addIssue(s.issueAt("shard", fmt.Sprintf("service %q has %d shards", s.values["service"], shards), fmt.Sprintf("set a whole number from 0 to %d", shards-1)))
	}
	if other, taken := addresses[s.values["address"]]; taken {
		d.addIssue(s.issueAt("address", fmt.Sprintf("server %q has the same address", other), "give each server its own address"))
	}
	addresses[s.values["address"]] = s.server
	c := d.serverChain(s.server, s.values["service"], s.values["domain"])
	if slots, connections := c.integer("slots"), c.integer("connections"); connections < slots {
		d.addIssue(s.issueAt("connections", fmt.Sprintf("the server has %d connections for %d slots", connections, slots), "raise connections to at least the slots"))
	}
}

// checkRangeOverlaps reports overlapping key ranges of the same service and failure
// domain.
func (d *document) checkRangeOverlaps() {
	groups := map[string][]*section{}
	for _, s := range d.inOrder {
		if s.level == LevelRange {
			parent := serviceDomainSection(s.service, s.domain)
			groups[parent] = append(groups[parent], s)
		}
	}
	for _, parent := range sortedKeys(groups) {
		group := groups[parent]
		slices.SortStableFunc(group, func(a, b *section) int { return cmp.Compare(a.values["from"], b.values["from"]) })
		for i := 1; i < len(group); i++ {
			d.checkRangeOverlap(group[i-1], group[i])
		}
	}
}

func (d *document) checkRangeOverlap(lower, upper *section) {
	if r := lower.keyRange(); r.unbounded || upper.values["from"] < r.to {
		d.addIssue(upper.issueAt("from", fmt.Sprintf("the range overlaps [%s]", lower.name), "move from or to so that each key is in one range"))
	}
}
