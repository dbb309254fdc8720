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

// memory carries records between mirrors in one process and stands for the
// witnesses too, which accept every mirror set.
type memory struct {
	mirrors  sync.Map // authority.Instance to *Mirror
	set      atomic.Pointer[authority.MirrorSet]
	messages atomic.Int64
	// delay is how long a copy takes, in nanoseconds; 0 stands for 10 ms.
	delay atomic.Int64
}

func newMemory(names ...string) *memory {
	m := &memory{}
	m.set.Store(&authority.MirrorSet{})
	for _, name := range names {
		i := authority.Instance{Name: name}
		m.mirrors.Store(i, NewMirror(i, Options{}))
	}
	return m
}

func (m *memory) mirror(i authority.Instance) *Mirror {
	found, _ := m.mirrors.Load(i)
	return found.(*Mirror)
}

// Copy implements Copier.
func (m *memory) Copy(ctx context.Context, to authority.Instance, c CopyRequest) (CopyReply, error) {
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

// Fetch implements Copier.
func (m *memory) Fetch(_ context.Context, to authority.Instance, f FetchRequest) ([]Record, time.Time, error) {
	return m.mirror(to).Fetch(f)
}

// Mirrors implements MirrorSets.
func (m *memory) Mirrors() authority.MirrorSet { return *m.set.Load() }

// Propose implements MirrorSets.
func (m *memory) Propose(_ context.Context, set authority.MirrorSet) error {
	m.set.Store(&set)
	return nil
}

func (m *memory) open(ballot uint64, first bool) *ReplicatedTable {
	return Open(context.Background(), ReplicatedTableOptions{
		Shard: mirrorShard, Token: authority.Token{Epoch: 1, Ballot: ballot},
		Self: authority.Instance{Name: "self"}, MirrorClient: m, MirrorSets: m, FirstTenure: first,
	})
}

func (m *memory) close() {
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

// Guards against one message per record and mirror: 100 requests that arrive
// within one round trip need two messages to each mirror.
func TestCopiesShareMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMemory("a", "b")
		defer m.close()
		k := m.open(1, true)
		defer k.Close()
		k.SetCandidates(candidates("a", "b"))
		time.Sleep(time.Second)
		before := m.messages.Load()
		var wg sync.WaitGroup
		for i := range 100 {
			run := k.Begin("k", testID(time.Now(), uint32(i)), 1, time.Now()).Execution
			wg.Go(func() {
				if err := k.Copy(context.Background(), run); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		is.True(m.messages.Load()-before <= 4)
	})
}

// Guards against a member of the mirror set that lacks records: one that joins
// later, among them the one that the records were once fetched from.
func TestEachMirrorHasAllRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMemory("a", "b", "c")
		defer m.close()
		first := m.open(1, true)
		first.SetCandidates(candidates("a"))
		time.Sleep(time.Second)
		first.Close()
		k := m.open(2, false)
		defer k.Close()
		is.Equal(k.Source().Name, "a")
		for sequence, names := range [][]string{{"b"}, {"b", "a"}, {"c", "a"}, {"b", "c"}, {"a"}} {
			k.SetCandidates(candidates(append(names, "self")...))
			time.Sleep(time.Second)
			is.Equal(len(k.Mirrors()), len(names))
			run := k.Begin("k", testID(time.Now(), uint32(sequence)), 1, time.Now()).Execution
			is.NoErr(k.Copy(t.Context(), run))
			for _, member := range k.Mirrors() {
				records, _, err := m.mirror(member).Fetch(FetchRequest{
					Shard: mirrorShard, To: member, Token: authority.Token{Epoch: 1, Ballot: 2},
				})
				is.NoErr(err)
				is.Equal(len(records), sequence+1)
			}
		}
	})
}
