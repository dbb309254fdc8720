package holder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// playInstance is an instance of a fleetPlay. It keeps its facts when its holder changes.
type playInstance struct {
	name, domain string
	registry     *facts.Registry
	conn         atomic.Pointer[link.Client]
	numbers      atomic.Uint64
	asked        sync.Map // number of an attempt to the time at which it was sent
	waits        []time.Duration
	refused      int
	// bytes counts what the instance receives, by kind. It is used by the receiving goroutine
	// and, while that is idle, by the play.
	mu    sync.Mutex // protects bytes, waits and refused
	bytes map[string]int
}

func (i *playInstance) join(t testing.TB, address string) {
	receiver := link.NewFactsReceiver(i.registry)
	conn, err := link.Dial(context.Background(), address, link.Member{Instance: i.name, Domain: i.domain, ProcessorShare: 0.3, Known: receiver.Known()}, receiver.Clock(), func(down *linkpb.Down) {
		i.count(down)
		for _, f := range down.Facts {
			receiver.Apply(f, receiver.DecodeTime(down.ReadUs), time.Now())
		}
		for _, v := range down.Verdicts {
			i.decided(v)
		}
	})
	is.New(t).NoErr(err)
	i.conn.Store(conn)
}

// ended reports whether the link of the instance has ended.
func (i *playInstance) ended() bool {
	select {
	case <-i.conn.Load().Done():
		return true
	default:
		return false
	}
}

// count adds the encoded sizes of the parts of a message.
func (i *playInstance) count(down *linkpb.Down) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.bytes == nil {
		i.bytes = map[string]int{}
	}
	rest := proto.Size(down)
	part := func(kind string, size int) {
		i.bytes[kind] += size
		rest -= size
	}
	part("decisions", proto.Size(&linkpb.Down{Verdicts: down.Verdicts, Waiting: down.Waiting}))
	for _, f := range down.Facts {
		if f.Listing != nil {
			part("listing", proto.Size(f.Listing))
		}
		if f.Orders != nil {
			part("settings", proto.Size(f.Orders))
		}
		if f.Ownership != nil {
			part("owners", proto.Size(f.Ownership))
		}
	}
	i.bytes["heartbeats and rest"] += rest
}

// ask sends an attempt for a random key or service.
func (i *playInstance) ask(random *rand.Rand) {
	conn := i.conn.Load()
	if conn == nil {
		return
	}
	ask := &linkpb.Ask{Number: i.numbers.Add(1), Service: "keyed", Key: int32(random.IntN(placing.NumKeys)), TargetUs: 600_000, DeadlineUs: 1_500_000}
	if random.IntN(9) >= 5 {
		ask.Service, ask.Key = fmt.Sprint("open-", random.IntN(3)), placing.NoKey
	}
	i.asked.Store(ask.Number, time.Now())
	conn.Send(&linkpb.Up{Asks: []*linkpb.Ask{ask}})
}

// decided ends the attempt of a decision after 150 ms.
func (i *playInstance) decided(v *linkpb.Verdict) {
	if at, ok := i.asked.LoadAndDelete(v.Number); ok {
		i.mu.Lock()
		i.waits = append(i.waits, time.Since(at.(time.Time)))
		if v.Server == "" {
			i.refused++
		}
		i.mu.Unlock()
	}
	if v.Server == "" {
		return
	}
	conn := i.conn.Load()
	time.AfterFunc(150*time.Millisecond, func() {
		conn.Send(&linkpb.Up{Finishes: []*linkpb.Finish{{Number: v.Number, Server: v.Server, Outcome: uint32(placing.Answered), TookUs: 150_000}}})
	})
}

// take returns and resets what the instance has counted.
func (i *playInstance) take() (bytes map[string]int, waits []time.Duration, refused int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	bytes, waits, refused = i.bytes, i.waits, i.refused
	i.bytes, i.waits, i.refused = nil, nil, 0
	return bytes, waits, refused
}
