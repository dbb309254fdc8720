package exchange

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
	"pgregory.net/rapid"
)

// Guards against an instance that reverts to an older version offered by a peer or a restored
// store.
func TestSettingsNeverRevert(t *testing.T) {
	is := is.New(t)
	s, update := State{}.Install(SettingsValue{Version: 5, Value: []byte("five")})
	is.True(update.SettingsInstalled)
	for _, version := range []uint64{0, 4, 5} {
		next, update := s.Install(SettingsValue{Version: version, Value: []byte("other")})
		is.True(update.IsEmpty())
		is.Equal(string(next.Settings.Value), "five")
	}
}

// Guards against a version that this release refuses being sent again with each exchange, and
// against later versions not being requested.
func TestRefusedVersionIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := State{Settings: SettingsValue{Version: 5}, RefusedVersion: 7}
	peer := State{Settings: SettingsValue{Version: 7}}
	is.Equal(peer.NewReply(s.NewRequest(now), now).Settings, nil)
	is.True(!s.NeedsVersion(7))
	is.True(s.NeedsVersion(6))
	peer.Settings.Version = 8
	is.Equal(peer.NewReply(s.NewRequest(now), now).Settings.Version, uint64(8))
	is.True(s.NeedsVersion(8))
	is.Equal(s.NewReply(Request{}, now).SettingsVersion, uint64(5))
}

func drawEntry(rt *rapid.T) ShardEntry {
	return ShardEntry{
		Shard: key.ShardID{Service: "s", Index: rapid.IntRange(0, 3).Draw(rt, "shard")},
		Token: authority.Token{Epoch: rapid.Uint64Range(1, 3).Draw(rt, "epoch"), Ballot: rapid.Uint64Range(0, 3).Draw(rt, "ballot")},
	}
}

// Guards against a shard table that depends on the order of messages, keeps a lower token, or
// has different digests for equal content.
func TestShardTableMatchesNaiveMaximum(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(drawEntry), 0, 20).Draw(rt, "entries")
		highest := map[key.ShardID]authority.Token{}
		for _, e := range entries {
			if highest[e.Shard].Less(e.Token) {
				highest[e.Shard] = e.Token
			}
		}
		var oneByOne *ShardTable
		for _, e := range entries {
			oneByOne = oneByOne.With([]ShardEntry{e})
		}
		shuffled := append([]ShardEntry(nil), entries...)
		rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		var atOnce *ShardTable
		atOnce = atOnce.With(shuffled)
		if oneByOne.Digest() != atOnce.Digest() || oneByOne.Len() != len(highest) {
			rt.Fatalf("tables differ: %v, %v", oneByOne.Entries(), atOnce.Entries())
		}
		for shard, token := range highest {
			if entry, _ := atOnce.Find(shard); entry.Token != token {
				rt.Fatalf("shard %v has token %v, want %v", shard, entry.Token, token)
			}
		}
		if len(atOnce.MissingFrom(oneByOne.Entries())) > 0 {
			rt.Fatal("equal tables report missing entries")
		}
	})
}

// Guards against a difference between two instances that remains after an exchange.
func TestOneExchangeSynchronizesBothSides(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(0, 0)
		draw := func(name string) State {
			s, _ := State{}.Merge(rapid.SliceOfN(rapid.Custom(drawEntry), 0, 5).Draw(rt, name), drawMarks(rt, name), now)
			s, _ = s.Install(SettingsValue{Version: rapid.Uint64Range(0, 2).Draw(rt, name+"version")})
			return s
		}
		f := newFleet(2, 1, 0, false)
		f.now = now
		f.states[0], f.states[1] = draw("a"), draw("b")
		f.call(0, 1, f.states[0].NewRequest(now))
		if f.states[0].Summary(now) != f.states[1].Summary(now) {
			rt.Fatalf("states differ after the exchange: %+v, %+v", f.states[0], f.states[1])
		}
	})
}

func drawMarks(rt *rapid.T, name string) []QuarantineMark {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) QuarantineMark {
		return QuarantineMark{
			Fingerprint: rapid.Uint64Range(1, 4).Draw(rt, "fingerprint"),
			Crashes:     rapid.IntRange(1, 3).Draw(rt, "crashes"),
			Remaining:   time.Duration(rapid.IntRange(1, 600).Draw(rt, "remaining")) * time.Second,
		}
	}), 0, 5).Draw(rt, name+"marks")
}

// Guards against a mark that never expires because instances send it back and forth.
func TestMarkExpires(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	mark := QuarantineMark{Fingerprint: 1, Crashes: 2, Remaining: time.Minute}
	a, _ := State{}.Merge(nil, []QuarantineMark{mark}, now)
	b := State{}
	const delay = 20 * time.Millisecond
	for range 7000 { // 70 s of alternating messages, as frequent as in a large fleet
		now = now.Add(5 * time.Millisecond)
		b, _ = b.Merge(nil, a.Quarantine.Marks(now.Add(-delay)), now)
		now = now.Add(5 * time.Millisecond)
		a, _ = a.Merge(nil, b.Quarantine.Marks(now.Add(-delay)), now)
	}
	is.Equal(a.Quarantine.Crashes(1, now), 0)
	is.Equal(b.Quarantine.Crashes(1, now), 0)
	is.Equal(len(a.Quarantine.With(nil, now).marks), 0)
}

// Guards against a second crash that is not pushed because the first one is known.
func TestSecondCrashIsPushed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s, _ := State{}.Merge(nil, []QuarantineMark{{Fingerprint: 1, Crashes: 1, Remaining: time.Minute}}, now)
	_, update := s.Merge(nil, []QuarantineMark{{Fingerprint: 1, Crashes: 1, Remaining: time.Hour}}, now)
	is.True(update.IsEmpty())
	s, update = s.Merge(nil, []QuarantineMark{{Fingerprint: 1, Crashes: 2, Remaining: time.Minute}}, now)
	is.Equal(len(update.Quarantine), 1)
	is.Equal(s.Quarantine.Crashes(1, now), 2)
	is.Equal(len(s.NewPush(update, now).Quarantine), 1)
}

// Guards against a quarantine that grows without bound.
func TestQuarantineIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	marks := make([]QuarantineMark, maxMarks+10)
	for i := range marks {
		marks[i] = QuarantineMark{Fingerprint: uint64(i + 1), Crashes: 1, Remaining: time.Minute}
	}
	var q *Quarantine
	q = q.With(marks, now)
	is.Equal(len(q.marks), maxMarks)
	q = q.With([]QuarantineMark{{Fingerprint: marks[0].Fingerprint, Crashes: 2, Remaining: time.Minute}}, now)
	is.Equal(q.Crashes(marks[0].Fingerprint, now), 2)
}
