package fleet

import (
	"runtime"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// manyTeams returns teams with the given number of keys each.
func manyTeams(teams, keysPerTeam int) *Teams {
	var list []*Team
	keys := make(map[KeyDigest]string, teams*keysPerTeam)
	for n := range teams {
		team := &Team{Name: "team" + strconv.Itoa(n), Cap: Cap{Rate: 10, Burst: 10}}
		list = append(list, team)
		for k := range keysPerTeam {
			keys[DigestKey(keyOf(n, k))] = team.Name
		}
	}
	return NewTeams(list, keys)
}

// keyOf returns the kth key of the nth team.
func keyOf(n, k int) string {
	return "key-" + strconv.Itoa(n) + "-" + strconv.Itoa(k)
}

// Guards against a key that finds another team, or none, among many.
func TestEachKeyFindsItsTeam(t *testing.T) {
	is := is.New(t)
	teams := manyTeams(300, 10)
	is.Equal(teams.KeyCount(), 3000)
	for n := range 300 {
		for k := range 10 {
			is.Equal(teams.ByKey(DigestKey(keyOf(n, k))).Name, "team"+strconv.Itoa(n))
		}
		is.True(teams.ByKey(DigestKey(keyOf(n, 10))) == nil)
	}
	var none *Teams
	is.Equal(none.KeyCount(), 0)
	is.Equal(len(none.All()), 0)
	is.True(none.Team("team1") == nil)
}

// Guards against a log that shows other changes of keys than those that were made.
func TestKeyChanges(t *testing.T) {
	teams := func(keys ...string) *Teams {
		owners := map[KeyDigest]string{}
		for i, key := range keys {
			owners[DigestKey(key)] = []string{"a", "b", "b"}[i]
		}
		return NewTeams([]*Team{{Name: "a"}, {Name: "b"}}, owners)
	}
	for name, c := range map[string]struct {
		old, next        *Teams
		added, withdrawn int
	}{
		"none":         {nil, nil, 0, 0},
		"first":        {nil, teams("1", "2"), 2, 0},
		"last":         {teams("1", "2"), nil, 0, 2},
		"unchanged":    {teams("1", "2"), teams("1", "2"), 0, 0},
		"replaced":     {teams("1", "2"), teams("1", "3"), 1, 1},
		"added":        {teams("1", "2"), teams("1", "2", "3"), 1, 0},
		"another team": {teams("1", "2"), teams("2", "1"), 2, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			added, withdrawn := c.next.KeyChanges(c.old)
			is.Equal(added, c.added)
			is.Equal(withdrawn, c.withdrawn)
		})
	}
}

// Guards against a priority of a route that goes before that of a team, against routes that
// are ranked by a team's priority of another request, and against other ranks in deployments
// without teams.
func TestRank(t *testing.T) {
	is := is.New(t)
	high, low, none := &Team{HasPriority: true, Priority: 0}, &Team{HasPriority: true, Priority: 2}, &Team{}
	without, with := &Config{}, &Config{Teams: NewTeams(nil, nil)}
	is.Equal(without.Rank(nil, &Route{Priority: 5}), 5)
	is.Equal(with.Rank(high, &Route{Priority: 5}), 5)
	is.Equal(with.Rank(low, &Route{Priority: 0}), 2*1024)
	is.True(with.Rank(high, &Route{Priority: 1 << 20}) < with.Rank(low, &Route{Priority: 0}))
	is.Equal(with.Rank(none, &Route{Priority: 3}), 3*1024+3)
	is.Equal(with.Rank(nil, &Route{Priority: 3}), 3*1024+3)
	lowest := with.Rank(nil, &Route{Priority: 1 << 20})
	is.Equal(lowest, int(int32(lowest))) // messages between instances hold ranks in 32 bits
}

// BenchmarkManyKeys measures the authentication by one of 100,000 keys of 10,000 teams: the
// digest of the key and its look-up, and the memory of a key.
func BenchmarkManyKeys(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	teams := manyTeams(10_000, 10)
	runtime.GC()
	runtime.ReadMemStats(&after)
	keys := make([]string, 1<<12)
	for i := range keys {
		keys[i] = keyOf(i*2, i%10)
	}
	n := 0
	for b.Loop() {
		if teams.ByKey(DigestKey(keys[n%len(keys)])) == nil {
			b.Fatal("a key is missing")
		}
		n++
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(teams.KeyCount()), "B/key")
}
