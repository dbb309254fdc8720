package exchange

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// State is the state that one instance exchanges with its peers. It has value semantics:
// methods that change it return a modified copy.
type State struct {
	Self    authority.Instance
	Domain  string
	Address string
	Leaving bool
	// Settings is the version in effect; Version is 0 if there is none.
	Settings SettingsValue
	// RefusedVersion is the highest version whose tree this release does not accept, as can
	// happen while instances are being upgraded to a newer release. It is not requested again.
	RefusedVersion uint64
	Shards         *ShardTable
	Quarantine     *Quarantine
}

// Summary returns the version and digests that peers compare with theirs.
func (s State) Summary(now time.Time) Summary {
	return Summary{s.Settings.Version, s.Shards.Digest(), s.Quarantine.Digest(now)}
}

// NewRequest returns the request of a regular exchange, which contains only the summary.
func (s State) NewRequest(now time.Time) Request {
	r := Request{From: s.Self, Domain: s.Domain, Address: s.Address, Leaving: s.Leaving, Summary: s.Summary(now)}
	r.SettingsVersion = max(r.SettingsVersion, s.RefusedVersion)
	return r
}

// NewPush returns a request that carries an update.
func (s State) NewPush(update Update, now time.Time) Request {
	r := s.NewRequest(now)
	r.Shards = update.Shards
	r.Quarantine = s.Quarantine.refresh(update.Quarantine, now)
	return r
}

// refresh sets the remaining time of marks to the current value and drops expired ones.
func (q *Quarantine) refresh(marks []QuarantineMark, now time.Time) []QuarantineMark {
	var list []QuarantineMark
	for _, mark := range marks {
		if q == nil || !now.Before(q.marks[mark.Fingerprint].expiresAt) {
			continue
		}
		mark.Remaining = q.marks[mark.Fingerprint].expiresAt.Sub(now)
		list = append(list, mark)
	}
	return list
}

// Merge adds those shards and marks that are newer and returns them as an update to push.
func (s State) Merge(shards []ShardEntry, marks []QuarantineMark, now time.Time) (State, Update) {
	update := Update{Shards: s.Shards.Newer(shards), Quarantine: s.Quarantine.Newer(marks, now)}
	if len(update.Shards) > 0 {
		s.Shards = s.Shards.With(update.Shards)
	}
	if len(update.Quarantine) > 0 {
		s.Quarantine = s.Quarantine.With(update.Quarantine, now)
	}
	return s, update
}

// NeedsVersion reports whether settings of this version should be fetched: they are newer than
// those in effect, and the version was not refused.
func (s State) NeedsVersion(version uint64) bool {
	return version > s.Settings.Version && version != s.RefusedVersion
}

// Install makes a validated settings value the one in effect if its version is higher.
// Settings never revert to a lower version.
func (s State) Install(value SettingsValue) (State, Update) {
	if !s.NeedsVersion(value.Version) {
		return s, Update{}
	}
	s.Settings = value
	return s, Update{SettingsInstalled: true}
}

// NewReply returns the reply to a request whose content has already been merged. It includes
// tables and settings only where the summaries differ.
func (s State) NewReply(r Request, now time.Time) Reply {
	reply := Reply{From: s.Self, Domain: s.Domain, Leaving: s.Leaving, Summary: s.Summary(now)}
	if s.Settings.Version > r.SettingsVersion {
		reply.Settings = &s.Settings
	}
	if reply.ShardDigest != r.ShardDigest {
		reply.Shards = s.Shards.Entries()
	}
	if reply.QuarantineDigest != r.QuarantineDigest {
		reply.Quarantine = s.Quarantine.Marks(now)
	}
	return reply
}

// FollowUp returns a request with the entries that the replying peer is missing; ok is false
// if there are none. The reply must have been merged before.
func (s State) FollowUp(r Reply, now time.Time) (request Request, ok bool) {
	var missing Update
	if r.ShardDigest != s.Shards.Digest() {
		missing.Shards = s.Shards.MissingFrom(r.Shards)
	}
	if r.QuarantineDigest != s.Quarantine.Digest(now) {
		var theirs *Quarantine
		missing.Quarantine = theirs.With(r.Quarantine, now).Newer(s.Quarantine.Marks(now), now)
	}
	return s.NewPush(missing, now), !missing.IsEmpty()
}
