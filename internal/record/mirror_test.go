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

// Guards against an order that is taken for one that has not run, and is run again, because
// the copy of an earlier execution arrived late.
func TestMirrorOrdersExecutions(t *testing.T) {
	const first, second = 0, 1
	type copied struct {
		execution uint32
		state     State
	}
	for _, c := range []struct {
		name   string
		copies []copied
		want   State
	}{
		{"not run", []copied{{first, Dispatched}, {first, NotRun}}, NotRun},
		{"dispatch arrives late", []copied{{first, NotRun}, {first, Dispatched}}, NotRun},
		{"dispatched again", []copied{{first, Dispatched}, {first, NotRun}, {second, Dispatched}}, Dispatched},
		{"refusal of the first arrives late", []copied{{first, Dispatched}, {second, Dispatched}, {first, NotRun}}, Dispatched},
		{"dispatch of the first arrives last", []copied{{first, NotRun}, {second, NotRun}, {first, Dispatched}}, NotRun},
		{"refused again", []copied{{first, NotRun}, {second, Dispatched}, {first, NotRun}, {second, NotRun}}, NotRun},
		{"answered", []copied{{second, Answered}, {first, NotRun}, {second, NotRun}, {second, Dispatched}, {second, Unknown}}, Answered},
		{"unknown", []copied{{first, NotRun}, {second, Unknown}, {second, NotRun}, {second, Dispatched}}, Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			id := testID(time.Now(), 1)
			m := NewMirror(mirrorSelf, Options{})
			defer m.Close()
			for _, next := range c.copies {
				r := recordOf(id, next.state)
				r.Execution = next.execution
				m.Copy(copyOf(lowToken, r))
			}
			records, _, err := m.Fetch(FetchRequest{Shard: mirrorShard, Token: highToken, To: mirrorSelf})
			is.NoErr(err)
			is.Equal(records[0].State, c.want)
		})
	}
}
