package record

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/authority"
)

// fakeMirrors implements MirrorClient with mirrors in this process, and
// MirrorSetConsensus with witnesses that acknowledge every set.
type fakeMirrors struct {
	mirrors  sync.Map // authority.Instance to *Mirror
	set      atomic.Pointer[authority.MirrorSet]
	messages atomic.Int64
	// delay is the duration of a copy in nanoseconds; 0 means 10 ms.
	delay atomic.Int64
	// fetchDelay is the duration of a fetch in nanoseconds.
	fetchDelay atomic.Int64
}

func newFakeMirrors(names ...string) *fakeMirrors {
	m := &fakeMirrors{}
	m.set.Store(&authority.MirrorSet{})
	for _, name := range names {
		i := authority.Instance{Name: name}
		m.mirrors.Store(i, NewMirror(i, Options{}))
	}
	return m
}

func (m *fakeMirrors) mirror(i authority.Instance) *Mirror {
	found, _ := m.mirrors.Load(i)
	return found.(*Mirror)
}

// Copy implements MirrorClient.
func (m *fakeMirrors) Copy(ctx context.Context, to authority.Instance, c CopyRequest) (CopyReply, error) {
	m.messages.Add(1)
	delay := time.Duration(m.delay.Load())
	if delay == 0 {
		delay = 10 * time.Millisecond
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return CopyReply{}, ctx.Err()
	}
	return m.mirror(to).Copy(c), nil
}

// Fetch implements MirrorClient.
func (m *fakeMirrors) Fetch(ctx context.Context, to authority.Instance, f FetchRequest) ([]Record, time.Time, error) {
	if delay := time.Duration(m.fetchDelay.Load()); delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil, time.Time{}, ctx.Err()
		}
	}
	return m.mirror(to).Fetch(f)
}

// Mirrors implements MirrorSetConsensus.
func (m *fakeMirrors) Mirrors() authority.MirrorSet { return *m.set.Load() }

// Propose implements MirrorSetConsensus.
func (m *fakeMirrors) Propose(_ context.Context, set authority.MirrorSet) error {
	m.set.Store(&set)
	return nil
}

func (m *fakeMirrors) open(ballot uint64, first bool) *ReplicatedTable {
	return Open(context.Background(), ReplicatedTableOptions{
		Shard: mirrorShard, Token: authority.Token{Epoch: 1, Ballot: ballot},
		Self: authority.Instance{Name: "self"}, MirrorClient: m, MirrorSets: m, FirstTenure: first,
	})
}

func (m *fakeMirrors) close() {
	m.mirrors.Range(func(_, mirror any) bool {
		mirror.(*Mirror).Close()
		return true
	})
}

func candidates(names ...string) []authority.Instance {
	var all []authority.Instance
	for _, name := range names {
		all = append(all, authority.Instance{Name: name})
	}
	return all
}

// Guards against one message per record and mirror: 100 requests that arrive within
// one round trip share two messages to each mirror.
func TestCopiesShareMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newFakeMirrors("a", "b")
		defer m.close()
		table := m.open(1, true)
		defer table.Close()
		table.SetCandidates(candidates("a", "b"))
		time.Sleep(time.Second)
		before := m.messages.Load()
		var wg sync.WaitGroup
		for i := range 100 {
			execution := table.Begin("k", testID(time.Now(), uint32(i)), 1, time.Now()).Execution
			wg.Go(func() {
				if err := table.Copy(context.Background(), execution); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		is.True(m.messages.Load()-before <= 4)
	})
}

// Guards against a member of the mirror set without all records: one that joins late,
// or one that the records were fetched from and that has missed some since.
func TestEachMirrorHasAllRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newFakeMirrors("a", "b", "c")
		defer m.close()
		first := m.open(1, true)
		first.SetCandidates(candidates("a"))
		time.Sleep(time.Second)
		first.Close()
		table := m.open(2, false)
		defer table.Close()
		is.Equal(table.Source().Name, "a")
		for sequence, names := range [][]string{{"b"}, {"b", "a"}, {"c", "a"}, {"b", "c"}, {"a"}} {
			table.SetCandidates(candidates(append(names, "self")...))
			time.Sleep(time.Second)
			is.Equal(len(table.Mirrors()), len(names))
			execution := table.Begin("k", testID(time.Now(), uint32(sequence)), 1, time.Now()).Execution
			is.NoErr(table.Copy(t.Context(), execution))
			for _, member := range table.Mirrors() {
				records, _, err := m.mirror(member).Fetch(FetchRequest{
					Shard: mirrorShard, To: member, Token: authority.Token{Epoch: 1, Ballot: 2},
				})
				is.NoErr(err)
				is.Equal(len(records), sequence+1)
			}
		}
	})
}
