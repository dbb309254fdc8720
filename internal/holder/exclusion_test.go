package holder

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/quorum"
)

// Guards against two holders that may both grant a key, or both use what one holder may use:
// whatever happens to instances, links, leases and writes of the record, once a holder takes
// the grants of earlier holders for ended, none of those is valid, nor is one made later.
func TestNoGrantOutlivesTheWaitOfASuccessor(t *testing.T) {
	for range 5 { // rapid draws 100 fleets at a time
		rapid.Check(t, checkExclusion)
	}
}

func checkExclusion(t *rapid.T) {
	m := newExclusionModel(rapid.IntRange(3, 9).Draw(t, "instances"))
	pause := rapid.SampledFrom([]int{2, 5, 15, 40}).Draw(t, "steps between events")
	for range rapid.SampledFrom([]int{100, 200, 400}).Draw(t, "steps") {
		m.now = m.now.Add(time.Duration(rapid.IntRange(50, 400).Draw(t, "ms")) * time.Millisecond)
		if rapid.IntRange(1, pause).Draw(t, "event due") == 1 {
			m.disturb(t)
		}
		m.step(t)
		m.check(t)
	}
}

// exclusionModel is a fleet with a store. Holders decide as in the product; everything
// else is drawn.
type exclusionModel struct {
	now       time.Time
	instances []*modelInstance
	tenures   []*modelTenure
	record    owners.Record
	revision  int
	// key is the tenure that has the holder's key, or nil.
	key *modelTenure
	// lateWrites are writes of the record without an answer that may still take effect.
	lateWrites []modelWrite
}

type modelWrite struct {
	revision int
	record   owners.Record
}

type modelInstance struct {
	number int
	// process counts the processes of the instance.
	process  int
	removed  bool
	storeCut bool
	// side is the part of a partition in which the instance is; the store is in part 0.
	side   int
	frozen bool
	// joinedTenure and holderChanges are those of the product's Elector.
	joinedTenure  string
	holderChanges uint64
	// follows is the tenure that the instance is or follows, and its end of the link.
	follows *modelTenure
	link    *link.Follower
}

func (i *modelInstance) newFollower() *link.Follower {
	return &link.Follower{Member: link.Member{Instance: fmt.Sprintf("%s/%d", newFollower(i.number).Name(), i.process)}}
}

func (i *modelInstance) reachesStore() bool {
	return !i.storeCut && i.side == 0
}

func (i *modelInstance) reaches(other *modelInstance) bool {
	return i.side == other.side
}

type modelTenure struct {
	*Coordinator
	host  *modelInstance
	ended bool
	// leaseEndsAt is when the lease ends at the store.
	leaseEndsAt time.Time
	// revision is that of the record when the tenure last read or wrote it.
	revision int
	// grantsEndAt is when the last grant that it has sent ends at the latest.
	grantsEndAt time.Time
	tickedAt    time.Time
	// confirmedAt is when the last renewal was answered, as the product's renewLease counts it.
	confirmedAt time.Time
}

func newExclusionModel(n int) *exclusionModel {
	m := &exclusionModel{now: time.Unix(1000, 0)}
	for i := range n {
		m.instances = append(m.instances, &modelInstance{number: i})
	}
	return m
}

func (m *exclusionModel) draw(t *rapid.T, name string) *modelInstance {
	return m.instances[rapid.IntRange(0, len(m.instances)-1).Draw(t, name)]
}

// disturb draws one event. A cut may hit several instances, as that of a failure domain does.
func (m *exclusionModel) disturb(t *rapid.T) {
	i := m.draw(t, "instance")
	switch rapid.IntRange(0, 12).Draw(t, "event") {
	case 0, 1:
		for _, other := range m.instances {
			other.side = rapid.IntRange(0, 1).Draw(t, "side")
		}
	case 2:
		for _, other := range m.instances {
			other.side = 0
		}
	case 3:
		i.storeCut = !i.storeCut
	case 4: // the store is out for all, or back
		out := rapid.Bool().Draw(t, "out")
		for _, other := range m.instances {
			other.storeCut = out
		}
	case 5:
		m.leave(t, i)
	case 6:
		m.restart(t, i)
	case 7:
		i.frozen = !i.frozen
	case 8:
		if m.key != nil { // revoked at the store, before its end
			m.key.leaseEndsAt = m.now
			m.key = nil
		}
	case 9: // planned stop of the holder, or a yield
		if h := i.follows; h != nil && h.host == i && i.reachesStore() {
			m.end(h)
			if m.key == h {
				m.key = nil
			}
		}
	case 10: // scaled in
		m.restart(t, i)
		i.removed = true
	case 11: // scaled out
		if len(m.instances) < 14 {
			m.instances = append(m.instances, &modelInstance{number: len(m.instances)})
		}
	case 12:
		for _, w := range m.lateWrites {
			m.apply(w)
		}
		m.lateWrites = nil
	}
}

func (m *exclusionModel) apply(w modelWrite) bool {
	if w.revision != m.revision {
		return false
	}
	m.revision++
	m.record = w.record
	return true
}

// leave ends the instance's end of the link. The holder may notice at any later time.
func (m *exclusionModel) leave(t *rapid.T, i *modelInstance) {
	if i.follows == nil || i.follows.host == i {
		return
	}
	if rapid.Bool().Draw(t, "noticed") {
		delete(i.follows.followers, i.link)
	}
	i.follows, i.link = nil, nil
}

func (m *exclusionModel) end(h *modelTenure) {
	h.ended = true
	for _, i := range m.instances {
		if i.follows == h {
			i.follows, i.link = nil, nil
		}
	}
}

func (m *exclusionModel) restart(t *rapid.T, i *modelInstance) {
	if h := i.follows; h != nil && h.host == i {
		m.end(h)
	}
	m.leave(t, i)
	i.joinedTenure, i.holderChanges = "", 0
	i.process++
	i.frozen = false
	if m.key != nil && m.key.host == i && m.key.ended && i.reachesStore() && !i.removed { // finds the key of its predecessor
		m.elect(i, predecessor{revision: 1, tenureName: m.key.records.tenureName, grantsBound: maxInheritedGrant})
	}
}

// elect makes the instance the holder.
func (m *exclusionModel) elect(i *modelInstance, replaced predecessor) {
	found := m.record
	found.Epoch++
	name := fmt.Sprintf("tenure-%d", len(m.tenures))
	claimed := found
	claimed.Holder, claimed.InheritedGrantsPending = name, true
	claimed.Services = map[string][]owners.RecordRange{"s": nil}
	m.apply(modelWrite{revision: m.revision, record: claimed})
	until := m.now.Add(inheritedGrantsBound(replaced, found.Holder, found))
	f := i.newFollower()
	f.JoinedAt, f.ProvedAt = m.now, m.now
	h := &modelTenure{host: i, leaseEndsAt: m.now.Add(leaseTTL), revision: m.revision, tickedAt: m.now, Coordinator: &Coordinator{
		table: owners.NewTable(owners.Record{Epoch: found.Epoch}, name, until), records: &recordStore{tenureName: name},
		followers: map[*link.Follower]bool{f: true}, quorum: quorum.NewTracker(found.Fleet), foundFleet: found.Fleet,
		instance: f.Instance, startedAt: m.now, lastHolderEnded: lastHolderEnded(replaced, found.Holder, found),
		predecessorsEndBy: until,
	}, confirmedAt: m.now}
	confirmedAt := m.now
	h.leaseConfirmedAt.Store(&confirmedAt)
	i.joinedTenure = name // as changeTenure does
	i.holderChanges++
	i.follows, i.link = h, f
	m.key = h
	m.tenures = append(m.tenures, h)
}

func (m *exclusionModel) join(i *modelInstance, h *modelTenure) {
	f := i.newFollower()
	if tenure := h.records.tenureName; tenure != i.joinedTenure {
		i.joinedTenure = tenure
		i.holderChanges++
	}
	f.HolderChanges = i.holderChanges
	if h.ended || !i.reaches(h.host) || h.host.frozen {
		return
	}
	f.JoinedAt = h.stays.join(f, m.now)
	h.followers[f] = true
	i.follows, i.link = h, f
}

func (m *exclusionModel) step(t *rapid.T) {
	if m.key != nil && !m.now.Before(m.key.leaseEndsAt) {
		m.key = nil
	}
	for _, i := range m.instances {
		if i.removed || i.frozen {
			continue
		}
		switch h := i.follows; {
		case h != nil && h.host == i:
			m.lead(t, h)
		case h != nil && (h.ended || !i.reaches(h.host)) && rapid.Bool().Draw(t, "notices"):
			m.leave(t, i)
		case h == nil && !i.reachesStore():
			if peer := m.draw(t, "peer"); peer.follows != nil && peer.reaches(i) {
				m.join(i, peer.follows)
			}
		case h == nil && m.key == nil:
			m.elect(i, predecessor{})
		case h == nil && m.key.host != i:
			m.join(i, m.key)
		}
	}
}

// lead runs one tick of a holder as the event loop does.
func (m *exclusionModel) lead(t *rapid.T, h *modelTenure) {
	if m.now.Sub(h.tickedAt) > maxTickGap {
		h.leaseConfirmedAt.Store(nil)
	}
	h.tickedAt = m.now
	if h.host.reachesStore() && rapid.IntRange(0, 3).Draw(t, "renewal") > 0 {
		if m.key != h {
			m.end(h)
			return
		}
		h.leaseEndsAt = m.now.Add(leaseTTL)
		if rapid.Bool().Draw(t, "renewal answered") {
			sentAt := m.now
			h.leaseConfirmedAt.Store(&sentAt)
			h.confirmedAt = sentAt
		}
	}
	if m.now.Sub(h.confirmedAt) > maxStoreOutage+leaseRenewInterval+storeTimeout {
		m.end(h)
		return
	}
	h.forgetStays(m.now)
	if h.fleetRecordDue(m.now) && !m.store(t, h) {
		return
	}
	for _, i := range m.instances {
		if i.follows == h && !i.removed && !i.frozen && i.reaches(h.host) && rapid.IntRange(0, 4).Draw(t, "proof") > 0 {
			sentAt := m.now.Add(-time.Duration(rapid.IntRange(0, 100).Draw(t, "proof age")) * time.Millisecond)
			if sentAt.Before(i.link.JoinedAt) {
				sentAt = i.link.JoinedAt
			}
			h.recordProof(i.link, uint64(sentAt.Sub(h.startedAt).Microseconds()), m.now)
		}
	}
	if !h.maySendOrders(m.now) {
		return
	}
	duration := owners.GrantDuration
	if m.now.Sub(*h.leaseConfirmedAt.Load()) > followerQuorumAfter {
		duration = outageGrantDuration
	}
	h.grantsEndAt = m.now.Add(owners.OrderTimeout + duration*102/100)
}

// store writes the record. It returns false if that shows the end of the tenure.
func (m *exclusionModel) store(t *rapid.T, h *modelTenure) bool {
	fleet := h.fleetToRecord(m.now)
	h.quorum.Propose(fleet)
	w := modelWrite{revision: h.revision, record: owners.Record{
		Epoch: h.table.Record().Epoch, Holder: h.records.tenureName, Fleet: fleet, InheritedGrantsPending: !h.table.InheritedGrantsEnded(m.now),
		Services: map[string][]owners.RecordRange{"s": nil},
	}}
	if !h.host.reachesStore() {
		return true
	}
	if m.record.Holder != h.records.tenureName {
		m.end(h)
		return false
	}
	h.revision = m.revision // as resolveConflict does
	switch rapid.IntRange(0, 4).Draw(t, "write") {
	case 0: // lost
	case 1: // done, not answered
		m.apply(w)
	case 2: // done later, not answered
		m.lateWrites = append(m.lateWrites, w)
	default:
		if m.apply(w) {
			h.revision = m.revision
			h.quorum.Confirm(fleet)
		}
	}
	return true
}

func (m *exclusionModel) check(t *rapid.T) {
	m.checkExclusive(t)
	m.checkShares(t)
	for n, later := range m.tenures {
		if later.ended || later.superseded.Load() || !later.table.InheritedGrantsEnded(m.now) || !later.maySendOrders(m.now) {
			continue
		}
		for _, earlier := range m.tenures[:n] {
			if earlier.grantsEndAt.After(m.now) {
				t.Fatalf("%s takes all earlier grants for ended, but one of %s is valid for %v", later.records.tenureName, earlier.records.tenureName, earlier.grantsEndAt.Sub(m.now))
			}
		}
	}
}

// checkExclusive checks that at most one holder assigns requests to cold servers and allows
// retries.
func (m *exclusionModel) checkExclusive(t *rapid.T) {
	var first *modelTenure
	for _, h := range m.tenures {
		if h.ended || h.host.frozen || h.host.removed || !h.exclusive(m.now) {
			continue
		}
		if first != nil {
			t.Fatalf("%s and %s both take themselves for the only holder", first.records.tenureName, h.records.tenureName)
		}
		first = h
	}
}

// checkShares checks that the shares of limits which holders use add up to no more than the
// whole, beside that of each holder's own instance.
func (m *exclusionModel) checkShares(t *rapid.T) {
	sum, allowed := 0.0, 1.0+1e-9
	for _, h := range m.tenures {
		if h.ended || h.host.frozen || h.host.removed {
			continue
		}
		if len(h.quorum.Stored()) == 0 {
			return // no holder knows what the others use
		}
		sum += h.share(m.now)
		allowed += 1 / float64(len(h.quorum.Stored())+1)
	}
	if sum > allowed {
		t.Fatalf("holders use %.2f of the limits, more than %.2f", sum, allowed)
	}
}
