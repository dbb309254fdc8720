package shardrecord

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/store"
)

var testShard = key.ShardID{Service: "bosho", Index: 1}

// counterInput is an operation on a counter that is stored in the assignment.
type counterInput struct{ increment bool }

// counterOutput is the value read or written. unknown is set when the outcome of
// a write is unknown.
type counterOutput struct {
	value   int
	unknown bool
}

func counterValue(r Record) int {
	n, err := strconv.Atoi(string(r.Assignment))
	if err != nil {
		return 0
	}
	return n
}

func increment(r Record) (Record, error) {
	r.Assignment = json.RawMessage(strconv.Itoa(counterValue(r) + 1))
	return r, nil
}

func counterSteps(state, input, output any) []any {
	in, out, n := input.(counterInput), output.(counterOutput), state.(int)
	switch {
	case in.increment && out.unknown:
		return []any{n, n + 1}
	case in.increment && out.value == n+1:
		return []any{n + 1}
	case !in.increment && out.value == n:
		return []any{n}
	}
	return nil
}

// recordHistory runs clients that increment and read one record concurrently
// through a lossy store.
func recordHistory(s *lossyStore, seed uint64) []porcupine.Operation {
	const clients, operations = 4, 12
	var clock atomic.Int64
	var mu sync.Mutex
	var history []porcupine.Operation
	var clientsDone sync.WaitGroup
	for client := range clients {
		clientsDone.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			handle := NewHandle(s, testShard)
			for range operations {
				op, ok := runOperation(handle, random.IntN(3) > 0, &clock)
				if !ok {
					continue
				}
				op.ClientId = client
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	clientsDone.Wait()
	return history
}

// runOperation runs one operation. ok is false when it had neither an effect nor
// a result.
func runOperation(h *Handle, write bool, clock *atomic.Int64) (op porcupine.Operation, ok bool) {
	op = porcupine.Operation{Input: counterInput{write}, Call: clock.Add(1)}
	var record Record
	var err error
	if write {
		record, err = h.Commit(context.Background(), increment)
	} else {
		record, err = h.Load(context.Background())
	}
	op.Return = clock.Add(1)
	op.Output = counterOutput{value: counterValue(record)}
	if errors.Is(err, store.ErrUncertain) {
		// The write may take effect at any later time.
		op.Return = math.MaxInt64
		op.Output = counterOutput{unknown: true}
		return op, true
	}
	return op, err == nil || errors.Is(err, store.ErrNotFound)
}

// Guards against commits that are lost or applied twice when responses of the
// store are lost, and against reads of older values.
func TestHistoriesAreLinearizable(t *testing.T) {
	nondeterministic := porcupine.NondeterministicModel{
		Init:  func() []any { return []any{0} },
		Step:  counterSteps,
		Equal: func(a, b any) bool { return a == b },
	}
	model := nondeterministic.ToModel()
	for seed := range uint64(200) {
		s := &lossyStore{random: rand.New(rand.NewPCG(seed, 99)), faults: true}
		if !porcupine.CheckOperations(model, recordHistory(s, seed)) {
			t.Fatalf("history of seed %d is not linearizable", seed)
		}
	}
}

// Guards against a record that changes when it is stored and read back.
func TestCodec(t *testing.T) {
	is := is.New(t)
	member := func(name string) authority.Member {
		return authority.Member{
			Instance: authority.Instance{Name: name, Incarnation: "x" + name},
			Address:  "10.0.0.1:70", Domain: "derby",
		}
	}
	record := Record{
		Config: authority.WitnessConfig{
			Epoch:     7,
			Witnesses: []authority.Member{member("a"), member("b")},
			Previous:  [][]authority.Member{{member("c")}, {member("d"), member("e")}},
		},
		Sequence: 12, WriteID: "w", RecentWriteIDs: []string{"v", "u"}, Assignment: json.RawMessage(`{"a":1}`),
	}
	data, err := encode(record)
	is.NoErr(err)
	decoded, err := decode(data)
	is.NoErr(err)
	is.Equal(decoded, record)
	_, err = decode([]byte(`{"epoch":`))
	is.True(err != nil)
}

// Guards against a commit that writes although change returned an error.
func TestCommitStopsOnErrorOfChange(t *testing.T) {
	is := is.New(t)
	s := &lossyStore{random: rand.New(rand.NewPCG(1, 1))}
	h := NewHandle(s, testShard)
	written, err := h.Commit(context.Background(), increment)
	is.NoErr(err)
	refusal := errors.New("refused")
	current, err := h.Commit(context.Background(), func(r Record) (Record, error) { return r, refusal })
	is.Equal(err, refusal)
	is.Equal(current, written)
	is.Equal(s.writes, 1)
}
