package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// maxLossTime bounds promise_ttl + max_delivery: a key must be served again
// within 1 s of a loss, and rank delays and round trips take up to 100 ms of it.
const maxLossTime = 900 * time.Millisecond

// minRenewalsPerPromise keeps a tenure alive when one renewal is lost.
const minRenewalsPerPromise = 3

// maxShards bounds the shards of all services together; see section 3.4 of the design.
const maxShards = 256

// checkConsistency checks settings against each other. Each value is valid by itself.
func (d *document) checkConsistency() {
	d.checkControl()
	d.checkShardTotal()
	addresses := map[string]string{}
	for _, s := range d.order {
		switch s.level {
		case LevelService:
			d.checkService(s)
		case LevelServiceDomain:
			d.checkHedge(s)
		case LevelRange:
			d.checkHedge(s)
			d.checkBounds(s)
		case LevelServer:
			d.checkServer(s, addresses)
		}
	}
	d.checkOverlaps()
}

func (d *document) checkControl() {
	root := d.sections[defaultSection]
	if root == nil {
		return
	}
	c := buildControl(d.rootChain())
	if c.RenewInterval*minRenewalsPerPromise > c.PromiseTTL {
		d.add(root.at("renew_interval", fmt.Sprintf("more than a third of promise_ttl (%s)", c.PromiseTTL), "lower it to at most "+(c.PromiseTTL/minRenewalsPerPromise).String()))
	}
	if sum := c.PromiseTTL + c.MaxDeliveryTime; sum > maxLossTime {
		d.add(root.at("promise_ttl", fmt.Sprintf("with max_delivery (%s) it makes %s", c.MaxDeliveryTime, sum), "lower one of them so that the sum is at most "+maxLossTime.String()))
	}
	if c.MaxDeliveryTime >= c.PromiseTTL-c.RenewInterval {
		d.add(root.at("max_delivery", fmt.Sprintf("leaves no time to send within promise_ttl (%s)", c.PromiseTTL), "lower it below "+(c.PromiseTTL-c.RenewInterval).String()))
	}
}

func (d *document) checkShardTotal() {
	total := 0
	for _, s := range d.order {
		if s.level == LevelService {
			total += chain{s}.whole("shards")
		}
	}
	if total > maxShards {
		d.add(Issue{Key: "shards", Value: strconv.Itoa(total), Reason: fmt.Sprintf("all services together have %d shards", total), Remedy: fmt.Sprintf("lower them to at most %d", maxShards)})
	}
}

func (d *document) checkService(s *section) {
	d.checkHedge(s)
	if s.values["state"] == stateOut {
		return
	}
	shards := chain{s}.whole("shards")
	servers := make([]int, shards)
	for _, other := range d.order {
		if other.level == LevelServer && other.values["service"] == s.service {
			if i := shardOf(other, shards); i < shards {
				servers[i]++
			}
		}
	}
	for i, n := range servers {
		if n == 0 {
			d.add(s.at("shards", fmt.Sprintf("shard %d of service %q has no server", i, s.service), fmt.Sprintf("set shard = %d in a server of the service, lower shards, or set state = out", i)))
		}
	}
}

// checkHedge refuses a hedge that would be without effect.
func (d *document) checkHedge(s *section) {
	keyed := chain{d.sections[serviceSection(s.service)]}.bool("keyed")
	if keyed && s.values["hedge"] == "true" {
		d.add(s.at("hedge", "the service is keyed and each key has one owner", "remove the setting or set it to false"))
	}
}

func (d *document) checkBounds(s *section) {
	if r := s.keyRange(); !r.open && r.from >= r.to {
		d.add(s.at("to", fmt.Sprintf("not above from (%q)", r.from), "set the first key after the range, or remove to for a range without upper end"))
	}
}

func (d *document) checkServer(s *section, addresses map[string]string) {
	service := d.sections[serviceSection(s.values["service"])]
	if shards := (chain{service}).whole("shards"); s.has("shard") && shardOf(s, shards) >= shards {
		d.add(s.at("shard", fmt.Sprintf("service %q has %d shards", s.values["service"], shards), fmt.Sprintf("set a whole number from 0 to %d", shards-1)))
	}
	if other, taken := addresses[s.values["address"]]; taken {
		d.add(s.at("address", fmt.Sprintf("server %q has the same address", other), "give each server its own address"))
	}
	addresses[s.values["address"]] = s.server
	c := d.serverChain(s.server, s.values["service"], s.values["domain"])
	if slots, connections := c.whole("slots"), c.whole("connections"); connections < slots {
		d.add(s.at("connections", fmt.Sprintf("the server has %d connections for %d slots", connections, slots), "raise connections to at least the slots"))
	}
}

// checkOverlaps refuses key ranges of one service and failure domain that share a key.
func (d *document) checkOverlaps() {
	groups := map[string][]*section{}
	for _, s := range d.order {
		if s.level == LevelRange {
			parent := serviceDomainSection(s.service, s.domain)
			groups[parent] = append(groups[parent], s)
		}
	}
	for _, parent := range sortedKeys(groups) {
		group := groups[parent]
		slices.SortStableFunc(group, func(a, b *section) int { return cmp.Compare(a.values["from"], b.values["from"]) })
		for i := 1; i < len(group); i++ {
			d.checkOverlap(group[i-1], group[i])
		}
	}
}

func (d *document) checkOverlap(lower, upper *section) {
	if r := lower.keyRange(); r.open || upper.values["from"] < r.to {
		d.add(upper.at("from", fmt.Sprintf("the range overlaps [%s]", lower.name), "move from or to so that each key is in one range"))
	}
}
