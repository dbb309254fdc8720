package placing

import "time"

// refusalMemory remembers the refused attempts of a service until their callers have
// returned, for at least refusalMemoryTime.
type refusalMemory struct {
	recent, older map[refusalKey][]refusal
	rotatedAt     time.Time
}

func (m *refusalMemory) add(now time.Time, a *Attempt, r refusal) {
	if m.recent == nil || now.Sub(m.rotatedAt) > refusalMemoryTime {
		m.older, m.recent, m.rotatedAt = m.recent, map[refusalKey][]refusal{}, now
	}
	key := newRefusalKey(a)
	m.recent[key] = append(m.recent[key], r)
}

// take removes and returns the refusal of the request that the attempt belongs to.
func (m *refusalMemory) take(now time.Time, a *Attempt) (refusal, bool) {
	key := newRefusalKey(a)
	for _, all := range []map[refusalKey][]refusal{m.recent, m.older} {
		if len(all) == 0 {
			continue
		}
		for _, difference := range [...]int64{0, -1, 1} {
			near := refusalKey{key.contentHash, key.deadline + difference}
			for i, r := range all[near] {
				if now.Before(r.returnsFrom) {
					continue
				}
				if len(all[near]) == 1 {
					delete(all, near)
				} else {
					all[near] = append(all[near][:i], all[near][i+1:]...)
				}
				return r, true
			}
		}
	}
	return refusal{}, false
}
