package holder

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against two owners of a key over histories of several holders: elections in one cut,
// holders that have ended and left grants behind, moves in progress, links that are cut in one
// direction, restarted servers, and writes and grants that take effect late.
func TestNoKeyHasTwoOwnersOverSeveralHolders(t *testing.T) {
	var stats historyStats
	rapid.Check(t, func(t *rapid.T) { checkHistory(t, &stats, false) })
	t.Logf("%+v", stats)
}

// Guards against two owners of a key, and against an epoch that is given out twice, while the
// store comes back from copies: it loses any suffix of its writes at any moment, and so brings
// back the key, lease and record of a holder that has ended, and forgets those of one that has
// not, besides all that happens in the histories of one era.
func TestNoKeyHasTwoOwnersAcrossEras(t *testing.T) {
	var stats historyStats
	rapid.Check(t, func(t *rapid.T) { checkHistory(t, &stats, true) })
	t.Logf("%+v", stats)
	if !t.Failed() && (stats.eras == 0 || stats.entered == 0 || stats.doubtful == 0) {
		t.Error("the histories lack eras, holders that enter one, or records of an era before")
	}
}

func checkHistory(t *rapid.T, stats *historyStats, eras bool) {
	m := newHistoryModel(t, stats)
	pause := rapid.SampledFrom([]int{5, 15, 30, 60}).Draw(t, "steps between events")
	calm := rapid.SampledFrom([]int{30, 100, 1000}).Draw(t, "steps between copies")
	cut := m.number("holder is cut off at step", 30, 100)
	for n := range 300 {
		switch {
		case n != cut:
		case eras && m.oneOf(2, "holder is brought back"):
			m.bringBackHolder()
		default:
			m.cutOffHolder()
		}
		if m.takeCopy(); eras && n > 10 && m.oneOf(calm, "store comes back from a copy") {
			m.drill()
		}
		m.runEvents(m.now.Add(time.Duration(m.number("ms", 50, 250)) * time.Millisecond))
		if n > 30 && m.oneOf(pause, "event due") { // the first plan takes 1.8 s
			m.disturb()
		}
		m.step()
	}
}

// disturb draws one event.
func (m *historyModel) disturb() {
	i, s := m.instance(), m.servers[m.number("server", 0, len(m.servers)-1)]
	domain := m.number("domain", 0, historyStoreDomain)
	switch m.number("event", 0, 18) {
	case 0, 1: // a domain, or the store, is cut off, or reached again
		in, out := m.oneOf(2, "in"), m.oneOf(2, "out")
		for other := range m.cut {
			m.cut[domain][other], m.cut[other][domain] = out, in
		}
	case 2:
		other := m.number("other domain", 0, historyStoreDomain)
		m.cut[domain][other] = !m.cut[domain][other]
	case 3, 4:
		m.cut = [historyDomains + 1][historyDomains + 1]bool{}
		for _, other := range m.instances {
			other.storeCut = false
		}
	case 5:
		i.storeCut = !i.storeCut
	case 6:
		m.leave(i)
	case 7: // killed and started again
		if i.tenure != nil {
			m.end(i.tenure)
		}
		m.leave(i)
		i.start(m)
	case 8:
		i.frozen = !i.frozen
	case 9: // stops, hands over or yields
		if h := i.tenure; h != nil {
			m.end(h)
			m.revoke(i, h.key, h.keyEra())
			i.storeCut = m.oneOf(2, "cut off afterwards")
		}
	case 10: // revoked at the store, before its end
		m.key = nil
	case 11:
		m.store.applyLate()
	case 12: // restarted under its name, or stopped
		s.up = false
		if !m.oneOf(4, "stays down") {
			s.start()
			m.stats.restarts++
		}
	case 13:
		m.cutOffHolder()
	case 14:
		s.isListed, s.usable = m.oneOf(2, "listed"), m.oneOf(2, "usable")
	case 15, 16, 17: // a partition, in one direction or both
		in, out := m.oneOf(4, "in"), m.oneOf(4, "out")
		var side [historyDomains + 1]bool
		for domain := range side {
			side[domain] = m.oneOf(2, "side")
		}
		m.partition(side, in, out)
	case 18:
		for key := range historyKeys {
			m.rates[key*historyKeyStep] = float64(m.number("rate", 0, 20))
		}
	}
}
