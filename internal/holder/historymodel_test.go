package holder

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/store"
)

const (
	historyDomains = 3
	// historyStoreDomain is that of the store, whose links are cut by themselves.
	historyStoreDomain = historyDomains
)

var errNotReached = errors.New("the store is not reached")

// historyModel is a fleet with servers and a store. Elections, holders and their orders are
// decided as in the product; links, processes, servers and answers are drawn.
type historyModel struct {
	t         *rapid.T
	now       time.Time
	instances []*historyInstance
	servers   []*historyServer
	store     *historyStore
	key       *historyKey
	// copies holds the copies from which the store may come back.
	copies []historyCopy
	// storeBackAt is until when the store is unavailable.
	storeBackAt time.Time
	// epochs holds the tenure of each epoch.
	epochs map[int64]string
	// cut tells which domains do not reach which others, in one direction.
	cut    [historyDomains + 1][historyDomains + 1]bool
	rates  historyRates
	events []historyEvent
	// stats counts what happened.
	stats *historyStats
}

// historyEvent is something that happens at a later time.
type historyEvent struct {
	at time.Time
	do func()
}

// historyStats shows that histories contain what they are meant to.
type historyStats struct {
	elections, grants, fenced, moves, outageGrants, restarts, late, eras, entered, doubtful int
}

// historyRates holds the request rate of each key.
type historyRates []float64

// Rate returns the requests/s for key.
func (r historyRates) Rate(key int) float64 { return r[key] }

func newHistoryModel(t *rapid.T, stats *historyStats) *historyModel {
	m := &historyModel{t: t, now: time.Unix(1000, 0), store: &historyStore{records: map[string]store.Entry{}}, epochs: map[int64]string{}, rates: make(historyRates, owners.NumKeys), stats: stats}
	m.store.revision = 10
	for n := range m.number("instances", 2, 8) {
		i := &historyInstance{name: fmt.Sprintf("entry-%02d", n), domain: n % historyDomains}
		i.start(m)
		m.instances = append(m.instances, i)
	}
	for n := range m.number("servers", 2, 4) {
		s := &historyServer{name: fmt.Sprintf("server-%d", n), domain: n % historyDomains, usable: true}
		s.start()
		m.servers = append(m.servers, s)
	}
	m.list()
	return m
}

func (m *historyModel) number(name string, low, high int) int {
	return rapid.IntRange(low, high).Draw(m.t, name)
}

// oneOf reports whether something happens that does so once in n times.
func (m *historyModel) oneOf(n int, name string) bool {
	return m.number(name, 1, n) == n
}

func (m *historyModel) instance() *historyInstance {
	return m.instances[m.number("instance", 0, len(m.instances)-1)]
}

func (m *historyModel) reach(from, to int) bool {
	return from == to || !m.cut[from][to]
}

func (m *historyModel) toStore(i *historyInstance) bool {
	return !i.storeCut && m.reach(i.domain, historyStoreDomain) && !m.now.Before(m.storeBackAt)
}

// readsStore reports whether calls of the instance to the store are answered.
func (m *historyModel) readsStore(i *historyInstance) bool {
	return m.toStore(i) && m.reach(historyStoreDomain, i.domain)
}

func (m *historyModel) after(d time.Duration, do func()) {
	m.events = append(m.events, historyEvent{m.now.Add(d), do})
}

// runEvents runs the events until the given time in order, each at its time.
func (m *historyModel) runEvents(until time.Time) {
	for {
		next := -1
		for n, e := range m.events {
			if !e.at.After(until) && (next < 0 || e.at.Before(m.events[next].at)) {
				next = n
			}
		}
		if next < 0 {
			m.now = until
			return
		}
		e := m.events[next]
		m.events = slices.Delete(m.events, next, next+1)
		m.now = e.at
		e.do()
	}
}

// list updates the list of servers. Those that do not reach the store leave it.
func (m *historyModel) list() {
	for _, s := range m.servers {
		s.listed, s.isListed = s.incarnation(), s.up && m.reach(s.domain, historyStoreDomain)
	}
}

// cutOffHolder cuts the domain of the holder and another one off from the rest and the store,
// so that the holder may go on with most of the fleet while a successor is elected.
func (m *historyModel) cutOffHolder() {
	if m.key == nil || m.key.tenure == nil {
		return
	}
	domain := m.key.tenure.host.domain
	var side [historyDomains + 1]bool
	side[domain] = true
	side[(domain+m.number("other domain", 1, historyDomains-1))%historyDomains] = true
	m.partition(side, false, false)
}

// partition cuts the domains of one side off from the others, but for the directions that stay.
func (m *historyModel) partition(side [historyDomains + 1]bool, in, out bool) {
	for from := range m.cut {
		for to := range m.cut[from] {
			m.cut[from][to] = side[from] && !side[to] && !out || !side[from] && side[to] && !in
		}
	}
}

func (m *historyModel) step() {
	if m.key != nil && !m.now.Before(m.key.leaseEndsAt) {
		m.key = nil
	}
	if m.oneOf(10, "list is updated") {
		m.list()
	}
	for _, i := range m.instances {
		if i.frozen {
			continue
		}
		switch {
		case i.tenure != nil:
			m.lead(i.tenure)
		case i.candidacy != nil:
			m.stand(i, i.candidacy)
		case i.follows != nil:
			if h := i.follows; (h.ended || !m.reach(h.host.domain, i.domain)) && m.oneOf(2, "notices") {
				m.leave(i)
			}
		case !m.readsStore(i):
			if peer := m.instance(); peer != i && m.reach(i.domain, peer.domain) && m.reach(peer.domain, i.domain) {
				if peer.tenure != nil {
					m.join(i, peer.tenure)
				} else if peer.follows != nil {
					m.join(i, peer.follows)
				}
			}
		case m.key == nil:
			m.beginCandidacy(i, predecessor{era: m.store.era})
		case m.key.identity.sameProcess(i.elector.self):
		case m.key.identity.Name == i.name:
			m.beginCandidacy(i, predecessor{era: m.store.era, revision: m.key.revision, tenureName: m.key.identity.tenureName(), grantsBound: maxInheritedGrant})
		case m.key.tenure != nil:
			m.join(i, m.key.tenure)
		}
	}
}

func (m *historyModel) beginCandidacy(i *historyInstance, replaced predecessor) {
	identity := i.elector.newCandidate()
	i.client.era = m.store.era // it has read the key
	i.candidacy = &historyCandidacy{
		identity: identity, replaced: replaced, startedAt: m.now,
		records: &recordStore{
			store: i.client, tenureName: identity.tenureName(), told: i.elector.toldRecord(),
			followedHolder: i.elector.registry.Snapshot().Epoch > 0,
		},
	}
	i.candidacy.records.era.Store(replaced.era)
}

// stand runs one step of an election.
func (m *historyModel) stand(i *historyInstance, c *historyCandidacy) {
	switch {
	case c.key == nil:
		m.writeKey(i, c)
	case m.now.Sub(c.electedAt) >= leaseTTL:
		i.candidacy = nil
		m.revoke(i, c.key, c.replaced.era)
	case m.oneOf(5, "killed before its claim"):
		i.start(m)
	case m.toStore(i) && m.oneOf(2, "claims"):
		var found owners.Record
		err := m.call(i, func(ctx context.Context) (err error) {
			found, err = c.records.claim(ctx)
			return err
		})
		if err == nil {
			m.begin(i, c, found)
		}
	}
}

// writeKey writes the key of a candidate.
func (m *historyModel) writeKey(i *historyInstance, c *historyCandidacy) {
	if m.now.Sub(c.startedAt) > storeTimeout {
		i.candidacy = nil
		return
	}
	if !m.toStore(i) || m.oneOf(2, "key is delayed") {
		return
	}
	if current := m.keyRevision(); current != c.replaced.revision {
		i.candidacy = nil
		return
	}
	begins := m.now
	if m.oneOf(2, "lease began early") {
		begins = c.startedAt
	}
	m.key = m.newKey(c.identity, begins.Add(leaseTTL))
	c.key, c.electedAt = m.key, m.now
	if !m.readsStore(i) || m.oneOf(10, "key unanswered") {
		i.candidacy = nil
		m.revoke(i, c.key, c.replaced.era)
		return
	}
	i.client.era = m.store.era
	if i.client.era != c.replaced.era {
		i.candidacy = nil
	}
}

// newKey returns a key under a new lease.
func (m *historyModel) newKey(identity Identity, leaseEndsAt time.Time) *historyKey {
	m.store.revision += 2
	return &historyKey{identity: identity, leaseEndsAt: leaseEndsAt, lease: m.store.revision - 1, revision: m.store.revision}
}

// keyRevision returns the revision of the holder's key, or 0 if there is none.
func (m *historyModel) keyRevision() uint64 {
	if m.key == nil {
		return 0
	}
	return m.key.revision
}

// holdsLease reports whether the store knows the ID of the lease of the key, which may be that
// of another lease in a later era.
func (m *historyModel) holdsLease(key *historyKey) bool {
	return m.key != nil && m.key.lease == key.lease
}

// revoke revokes the lease of the key, as the instance knows it in the given era.
func (m *historyModel) revoke(i *historyInstance, key *historyKey, era uint64) {
	if i.client.era == era && m.holdsLease(key) && m.toStore(i) && !m.oneOf(4, "revocation lost") {
		m.key = nil
	}
}

// call makes a call to the store for the record, which ends as drawn.
func (m *historyModel) call(i *historyInstance, do func(context.Context) error) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m.store.giveUp = cancel
	m.store.fate = writeDone
	if !m.readsStore(i) || m.oneOf(4, "write fails") {
		m.store.fate = writeFate(m.number("fate", int(writeLost), int(writeLate)))
	}
	return do(ctx)
}

// begin begins a tenure, as lead does.
func (m *historyModel) begin(i *historyInstance, c *historyCandidacy, found owners.Record) {
	ctx, cancel := context.WithCancel(context.Background())
	until := c.startedAt.Add(inheritedGrantsBound(c.replaced, c.records.replacedTenure, found))
	h := &historyTenure{
		Coordinator: newCoordinator(ctx, cancel, i.elector, c.records, found, until),
		identity:    c.identity, host: i, key: c.key, leaseEra: c.replaced.era, confirmedAt: c.startedAt, renewAt: m.now.Add(leaseRenewInterval),
	}
	h.startedAt, h.tickedAt = m.now, m.now
	h.yieldAllowedAt = m.now.Add(time.Hour)
	h.Coordinator.suspension = suspension{}
	h.confirmElection(c.startedAt, m.now)
	i.elector.changeTenure(c.identity)
	own := &link.Follower{Member: i.elector.member(nil)}
	h.followers[own] = true
	own.JoinedAt = h.stays.join(own, m.now)
	if other, known := m.epochs[found.Epoch]; known && other != c.identity.tenureName() {
		m.t.Fatalf("the epoch %d was given out to %s and %s", found.Epoch, other, c.identity.tenureName())
	}
	m.epochs[found.Epoch] = c.identity.tenureName()
	if c.records.older {
		m.stats.doubtful++
	}
	c.key.tenure = h
	if m.key != nil && m.key.identity == c.identity {
		m.key.tenure = h
	}
	i.candidacy, i.tenure = nil, h
	m.stats.elections++
}

func (m *historyModel) join(i *historyInstance, h *historyTenure) {
	i.elector.changeTenure(h.identity)
	if h.ended || h.host.frozen || !m.reach(i.domain, h.host.domain) {
		return
	}
	f := &link.Follower{Member: i.elector.member(nil)}
	f.JoinedAt = h.stays.join(f, m.now)
	h.followers[f] = true
	if m.reach(h.host.domain, i.domain) && !m.oneOf(10, "join unanswered") {
		i.follows, i.link = h, f
	}
}

// leave ends the instance's end of the link. The holder may notice at any later time.
func (m *historyModel) leave(i *historyInstance) {
	if h := i.follows; h != nil && m.oneOf(2, "leaving noticed") {
		delete(h.followers, i.link)
	}
	i.follows, i.link = nil, nil
}

// end ends a tenure.
func (m *historyModel) end(h *historyTenure) {
	h.ended = true
	h.endTenure()
	h.host.tenure = nil
}

// lead runs one tick of a holder.
func (m *historyModel) lead(h *historyTenure) {
	if m.now.Sub(h.tickedAt) > maxTickGap {
		h.leaseConfirmedAt.Store(nil)
	}
	h.tickedAt = m.now
	if !m.now.Before(h.renewAt) && !m.renew(h) {
		return
	}
	if m.readsStore(h.host) && m.oneOf(2, "reads the list") {
		h.listing = nil
		for _, s := range m.servers {
			if s.isListed {
				h.listing = append(h.listing, historyListed{s.listed, s.usable})
			}
		}
	}
	if m.now.Sub(h.plannedAt) >= planInterval {
		h.plannedAt = m.now
		m.plan(h)
	}
	if h.recordDue(m.now) {
		m.write(h)
	}
	if h.maySendOrders(m.now) {
		for _, o := range h.table.TakeDueOrders(m.now, h) {
			m.send(h, o)
		}
	}
	h.forgetStays(m.now)
	m.askForProofs(h)
	m.publish(h)
}

// publish tells some of the followers the owners, as the holder publishes them.
func (m *historyModel) publish(h *historyTenure) {
	if !m.oneOf(4, "publishes") {
		return
	}
	owned := map[string][]owners.OwnedRange{}
	for _, service := range h.table.Services() {
		owned[service] = h.table.OwnedRanges(service)
	}
	for _, i := range m.instances {
		if (i == h.host || i.follows == h && !i.frozen && m.reach(h.host.domain, i.domain)) && !m.oneOf(5, "owners lost") {
			i.elector.registry.UpdateOwners(owned, h.epoch)
		}
	}
}

// renew renews the lease, as renewLease does. It returns false at the end of the tenure.
func (m *historyModel) renew(h *historyTenure) bool {
	h.renewAt = m.now.Add(leaseRenewInterval)
	if h.host.client.era != h.leaseEra || h.entry.pending {
		return m.enterEra(h)
	}
	reached := m.toStore(h.host) && !m.oneOf(8, "renewal lost")
	answered := reached && m.readsStore(h.host) && !m.oneOf(8, "renewal unanswered")
	held := m.holdsLease(h.key)
	if reached && held {
		m.key.leaseEndsAt = m.now.Add(leaseTTL)
	}
	if answered {
		h.host.client.era = m.store.era
		if h.host.client.era != h.leaseEra {
			return m.enterEra(h)
		}
	}
	switch {
	case h.superseded.Load(), answered && !held, !answered && m.now.Sub(h.confirmedAt) > maxStoreOutage:
		return m.endAndRevoke(h)
	case answered:
		sentAt := m.now
		h.confirmedAt = sentAt
		h.leaseConfirmedAt.Store(&sentAt)
	default:
		h.renewAt = m.now.Add(leaseRenewInterval + storeTimeout)
	}
	return true
}

// endAndRevoke ends a tenure and revokes its lease. It returns false.
func (m *historyModel) endAndRevoke(h *historyTenure) bool {
	m.end(h)
	m.revoke(h.host, h.key, h.keyEra())
	return false
}

// enterEra enters a later era of the store, as enterEra of the elector does. It returns false
// at the end of the tenure.
func (m *historyModel) enterEra(h *historyTenure) bool {
	client := h.host.client
	era := client.era
	h.entry.begin(era, h.leaseEra, m.now)
	if h.superseded.Load() || h.proveEra(m.now, h.entry) == eraRefuted {
		return m.endAndRevoke(h)
	}
	if m.now.Sub(h.confirmedAt) > maxStoreOutage {
		return m.endAndRevoke(h)
	}
	if !m.readsStore(h.host) || m.oneOf(8, "entry unanswered") {
		return true
	}
	if client.era = m.store.era; client.era != era {
		return true
	}
	switch {
	case m.key != nil && m.key.identity != h.identity:
		return m.endAndRevoke(h)
	case m.key != nil:
		m.key.leaseEndsAt = m.now.Add(leaseTTL)
	default:
		m.key = m.newKey(h.identity, m.now.Add(leaseTTL))
	}
	m.key.tenure = h
	h.key = m.key
	if err := h.host.elector.checkRecordOfEra(context.Background(), h.identity, era); err != nil {
		return m.endAndRevoke(h)
	}
	switch h.proveEra(m.now, h.entry) {
	case eraRefuted:
		return m.endAndRevoke(h)
	case eraUnproved:
		return true
	}
	h.entry.pending, h.leaseEra = false, era
	h.records.era.Store(era)
	h.era.Store(era)
	sentAt := m.now
	h.confirmedAt = sentAt
	h.leaseConfirmedAt.Store(&sentAt)
	m.stats.entered++
	return true
}

func (m *historyModel) plan(h *historyTenure) {
	var candidates []owners.Candidate
	for _, s := range h.listing {
		candidates = append(candidates, owners.Candidate{Incarnation: s.Incarnation, Slots: 3, Usable: s.usable, ServiceTime: 0.1})
	}
	h.table.Plan(m.now, historyService, candidates, m.rates)
	m.stats.moves += len(h.table.TakeMoves())
}

// write writes the record, as storeRecord does. Its answer may take a while.
func (m *historyModel) write(h *historyTenure) {
	record, version := h.newRecord(m.now)
	err := errNotReached
	if m.toStore(h.host) {
		err = m.call(h.host, func(ctx context.Context) error { return h.records.write(ctx, record) })
	}
	delay := time.Duration(0)
	switch {
	case err != nil:
		delay = storeRetryDelay
	case m.oneOf(4, "write answered late"):
		delay = time.Duration(m.number("write takes ms", 50, 900)) * time.Millisecond
	}
	m.after(delay, func() {
		if h.ended {
			return
		}
		if errors.Is(err, ErrSuperseded) {
			h.superseded.Store(true)
		}
		h.recordWritten(record, version, err)
	})
}

// askForProofs lets followers return proofs. An answer may arrive after its sender has left.
func (m *historyModel) askForProofs(h *historyTenure) {
	for _, i := range m.instances {
		if i.follows != h || i.frozen || !m.reach(h.host.domain, i.domain) || !m.reach(i.domain, h.host.domain) || m.oneOf(5, "proof lost") {
			continue
		}
		f, proof := i.link, uint64(m.now.Sub(h.startedAt).Microseconds())
		m.after(time.Duration(m.number("proof takes ms", 0, 300))*time.Millisecond, func() {
			if !h.ended && !h.host.frozen && h.followers[f] {
				h.recordProof(f, proof, m.now)
			}
		})
	}
}

// send carries out an order, which ends as drawn.
func (m *historyModel) send(h *historyTenure, o owners.Order) {
	if o.GrantDuration > owners.GrantDuration {
		m.stats.outageGrants++
	}
	s := m.servers[slices.IndexFunc(m.servers, func(s *historyServer) bool { return s.name == o.Server.Name })]
	timeout := orderTimeout(o)
	takes := time.Duration(m.number("order takes ms", 0, 400)) * time.Millisecond
	if m.oneOf(3, "order is quick") {
		takes = 0
	}
	if !m.reach(h.host.domain, s.domain) || m.oneOf(20, "order lost") {
		m.result(h, o, timeout, owners.OutcomeNoAnswer, "")
		return
	}
	if m.oneOf(20, "not sent") {
		m.result(h, o, takes, owners.OutcomeUnsent, "")
		return
	}
	m.after(takes, func() { m.arrive(h, o, s, timeout-takes) })
}

// arrive is the arrival of an order at its server; left is the time until its call ends.
func (m *historyModel) arrive(h *historyTenure, o owners.Order, s *historyServer, left time.Duration) {
	if !s.up {
		m.result(h, o, 0, owners.OutcomeRefused, "")
		return
	}
	answered := m.reach(s.domain, h.host.domain) && !m.oneOf(10, "answer lost")
	if o.Action == owners.ActionRelease {
		s.release(o)
		if answered {
			m.result(h, o, 0, owners.OutcomeDone, "handover")
		} else {
			m.result(h, o, left, owners.OutcomeNoAnswer, "")
		}
		return
	}
	arrivedAt, process := m.now, s.born
	if !answered {
		m.result(h, o, left, owners.OutcomeNoAnswer, "")
		if m.oneOf(2, "applied late") {
			m.stats.late++
			m.after(time.Duration(m.number("late by ms", 0, 3000))*time.Millisecond, func() {
				if s.up && s.born == process {
					m.apply(s, o, arrivedAt)
				}
			})
			return
		}
	}
	done := m.apply(s, o, arrivedAt)
	switch {
	case !answered:
	case done:
		m.result(h, o, 0, owners.OutcomeDone, "")
	default:
		m.result(h, o, 0, owners.OutcomeFenced, "")
	}
}

func (m *historyModel) apply(s *historyServer, o owners.Order, arrivedAt time.Time) bool {
	if !s.grant(o, arrivedAt) {
		m.stats.fenced++
		return false
	}
	m.stats.grants++
	if err := checkOwners(m.servers, m.now); err != nil {
		m.t.Fatalf("%v: %v after a grant of %d to %d to %s by fence %d", m.now.Sub(time.Unix(1000, 0)), err, o.From, o.To, s.name, o.Fence)
	}
	return true
}

// result tells the holder how an order has ended, as soon as its process runs.
func (m *historyModel) result(h *historyTenure, o owners.Order, after time.Duration, outcome owners.Outcome, handover string) {
	m.after(after, func() {
		switch {
		case h.ended:
		case h.host.frozen:
			m.result(h, o, tickInterval, outcome, handover)
		default:
			h.applyResult(owners.OrderResult{Order: o, Outcome: outcome, Ended: m.now, Handover: handover})
		}
	})
}
