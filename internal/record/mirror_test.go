package record

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

var (
	mirrorShard = key.ShardID{Service: "deposits", Index: 1}
	mirrorSelf  = authority.Instance{Name: "entry-2", Incarnation: "b"}
	lowToken    = authority.Token{Epoch: 1, Ballot: 1}
	highToken   = authority.Token{Epoch: 1, Ballot: 2}
)

func copyOf(token authority.Token, records ...Record) CopyRequest {
	return CopyRequest{Shard: mirrorShard, Token: token, To: mirrorSelf, Records: records, CompleteSince: time.UnixMilli(1)}
}

func recordOf(id string, state State) Record {
	return Record{Key: "gown-4", ID: id, Digest: 1, State: state}
}

// Guards against a mirror that accepts copies which it must refuse: from a superseded
// holder, for an earlier incarnation, or without a complete-since time.
func TestMirrorRefusesCopies(t *testing.T) {
	id := testID(time.Now(), 1)
	cases := []struct {
		name    string
		arrange func(m *Mirror)
		change  func(c *CopyRequest)
		want    bool
	}{
		{"first copy", func(*Mirror) {}, func(*CopyRequest) {}, true},
		{"higher token copied before", func(m *Mirror) { m.Copy(copyOf(highToken)) }, func(*CopyRequest) {}, false},
		{"higher token fetched before", func(m *Mirror) {
			_, _, _ = m.Fetch(FetchRequest{Shard: mirrorShard, Token: highToken, To: mirrorSelf})
		}, func(*CopyRequest) {}, false},
		{"same token fetched before", func(m *Mirror) {
			_, _, _ = m.Fetch(FetchRequest{Shard: mirrorShard, Token: lowToken, To: mirrorSelf})
		}, func(*CopyRequest) {}, true},
		{"higher token of another shard", func(m *Mirror) {
			other := copyOf(highToken)
			other.Shard.Index++
			m.Copy(other)
		}, func(*CopyRequest) {}, true},
		{"another incarnation is meant", func(*Mirror) {}, func(c *CopyRequest) { c.To.Incarnation = "a" }, false},
		{"no complete since time", func(*Mirror) {}, func(c *CopyRequest) { c.CompleteSince = time.Time{} }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := NewMirror(mirrorSelf, Options{})
			defer m.Close()
			c.arrange(m)
			request := copyOf(lowToken, recordOf(id, Dispatched))
			c.change(&request)
			is.Equal(m.Copy(request).Accepted, c.want)
		})
	}
}

// Guards against a late copy that reverts a record, and against a mirror that reports an
// earlier complete-since time than the holder that copied to it.
func TestMirrorKeepsTheLatestState(t *testing.T) {
	is := is.New(t)
	id := testID(time.Now(), 1)
	since := time.Now().Add(4 * time.Second)
	m := NewMirror(mirrorSelf, Options{})
	defer m.Close()
	m.Copy(copyOf(lowToken, recordOf(id, Answered)))
	m.Copy(copyOf(lowToken, recordOf(id, Dispatched)))
	later := copyOf(highToken)
	later.CompleteSince = since
	m.Copy(later)
	records, completeSince, err := m.Fetch(FetchRequest{Shard: mirrorShard, Token: highToken, To: mirrorSelf})
	is.NoErr(err)
	is.Equal(len(records), 1)
	is.Equal(records[0].State, Answered)
	is.True(completeSince.Equal(since))
}

// Guards against a mirror that grows without bound, and against one that drops records
// whose requests a holder with a slower clock still accepts.
func TestMirrorDropsOldRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := NewMirror(mirrorSelf, Options{Retention: time.Minute, MaxClockSkew: time.Second})
		defer m.Close()
		created := time.Now()
		m.Copy(copyOf(lowToken, recordOf(testID(created, 1), Answered)))
		fetch := func() int {
			records, since, err := m.Fetch(FetchRequest{Shard: mirrorShard, Token: lowToken, To: mirrorSelf})
			is.NoErr(err)
			is.True(len(records) == 1 || since.After(created))
			return len(records)
		}
		time.Sleep(61 * time.Second)
		is.Equal(fetch(), 1)
		time.Sleep(4 * time.Second)
		is.Equal(fetch(), 0)
	})
}
