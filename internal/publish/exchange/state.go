package exchange

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// State is what one instance knows. It is a value; the methods return copies.
type State struct {
	Self    authority.Instance
	Domain  string
	Address string
	Leaving bool
	// Settings is the version in effect; Version 0 stands for none.
	Settings SettingsValue
	// RefusedVersion is the highest version whose tree this release does not accept, as
	// while instances are being replaced by a newer release. It is not asked for again.
	RefusedVersion uint64
	Shards         *ShardTable
	Quarantine     *Quarantine
}

// Summary returns what peers compare.
func (s State) Summary(now time.Time) Summary {
	return Summary{s.Settings.Version, s.Shards.Digest(), s.Quarantine.Digest(now)}
}

// NewRequest returns the request of the regular exchange: a summary only.
func (s State) NewRequest(now time.Time) Request {
	r := Request{From: s.Self, Domain: s.Domain, Address: s.Address, Leaving: s.Leaving, Summary: s.Summary(now)}
	r.SettingsVersion = max(r.SettingsVersion, s.RefusedVersion)
	return r
}

// NewPush returns the request that passes news on.
func (s State) NewPush(news Update, now time.Time) Request {
	r := s.NewRequest(now)
	r.Shards = news.Shards
	r.Quarantine = s.Quarantine.refresh(news.Quarantine, now)
	return r
}

// refresh gives marks the time that they have left now.
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

// Merge takes over what is newer among shards and marks and returns it as news.
func (s State) Merge(shards []ShardEntry, marks []QuarantineMark, now time.Time) (State, Update) {
	news := Update{Shards: s.Shards.Newer(shards), Quarantine: s.Quarantine.Newer(marks, now)}
	if len(news.Shards) > 0 {
		s.Shards = s.Shards.With(news.Shards)
	}
	if len(news.Quarantine) > 0 {
		s.Quarantine = s.Quarantine.With(news.Quarantine, now)
	}
	return s, news
}

// NeedsVersion reports whether a peer that announces the version has newer settings.
func (s State) NeedsVersion(version uint64) bool {
	return version > s.Settings.Version && version != s.RefusedVersion
}

// Install takes over a checked settings value if its version is higher than the
// one in effect. Settings never go back.
func (s State) Install(value SettingsValue) (State, Update) {
	if !s.NeedsVersion(value.Version) {
		return s, Update{}
	}
	s.Settings = value
	return s, Update{SettingsInstalled: true}
}

// NewReply returns the reply to a request whose news has been learned. Details are
// included only where the summaries differ.
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

// FollowUp returns the request that sends the replying peer what it lacks. ok
// is false when it lacks nothing. The reply must have been learned before.
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
