package authority_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/peer/peerpb"
)

// controlLoad is one instance of a fleet in steady state, with the witnesses
// and holders with which it exchanges promises.
type controlLoad struct {
	now       time.Time
	node      *authority.Node
	self      authority.Member
	witnesses map[authority.Instance]*authority.Witness
	incoming  []authority.PromiseRequest
	unbatched bool

	messages, bytesOut, bytesIn int
}

func newControlLoad(instances, shards int, unbatched bool) *controlLoad {
	l := &controlLoad{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), witnesses: map[authority.Instance]*authority.Witness{}, unbatched: unbatched}
	members := make([]authority.Member, instances)
	peers := make([]authority.Peer, instances)
	for i := range members {
		name := fmt.Sprintf("router-%03d", i)
		members[i] = authority.Member{
			Instance: authority.Instance{Name: name, Incarnation: fmt.Sprintf("%011x", i)},
			Address:  fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			Domain:   fmt.Sprint("d", i%3),
		}
		peers[i] = authority.Peer{Member: members[i], Live: true, LiveChangedAt: l.now}
		l.witnesses[members[i].Instance] = authority.NewWitness(members[i].Instance, authority.DefaultTiming().PromiseTTL)
	}
	l.self = members[0]
	l.node = authority.NewNode(l.now, l.self, authority.DefaultTiming(), rand.New(rand.NewPCG(1, 2)))
	l.node.SetPeers(peers)
	l.addShards(members, shards)
	for range 10 {
		l.round()
	}
	l.messages, l.bytesOut, l.bytesIn = 0, 0, 0
	return l
}

// addShards gives the node all shards and the records that it would have read,
// and prepares the renewals that it receives from the holders of other shards.
func (l *controlLoad) addShards(members []authority.Member, shards int) {
	var specs []authority.ShardSpec
	byHolder := map[authority.Instance]int{}
	for i := range shards {
		spec := authority.ShardSpec{ID: key.ShardID{Service: "rail", Index: i}, Domains: []string{"d0", "d1", "d2"}}
		specs = append(specs, spec)
		witnesses := authority.NewWitnessSelector(spec, members).Select(nil)
		config := authority.WitnessConfig{Epoch: 1, Witnesses: witnesses}
		holder := witnesses[0].Instance
		if config.Rank(l.self.Instance) < 0 {
			continue
		}
		l.node.RecordRead(l.now, spec.ID, config, true)
		if holder == l.self.Instance {
			continue
		}
		at, known := byHolder[holder]
		if !known {
			at = len(l.incoming)
			byHolder[holder] = at
			l.incoming = append(l.incoming, authority.PromiseRequest{Candidate: holder, To: l.self.Instance})
		}
		l.incoming[at].Claims = append(l.incoming[at].Claims, authority.ShardClaim{Shard: spec.ID, Token: authority.Token{Epoch: 1, Ballot: 1}})
	}
	l.node.SetShards(l.now, specs)
}

// round runs one renewal interval, including the encoding of all messages.
func (l *controlLoad) round() {
	l.now = l.now.Add(authority.DefaultTiming().RenewInterval)
	l.node.Tick(l.now)
	for _, outgoing := range l.node.TakeEffects().Requests {
		for _, request := range l.split(outgoing.Request) {
			l.bytesOut += encodedRequest(request)
			reply := l.witnesses[outgoing.To.Instance].HandlePromise(l.now, request)
			l.bytesIn += encodedReply(reply)
			l.messages++
			l.node.PromiseAnswered(l.now, authority.OutgoingRequest{To: outgoing.To, Request: request, CreatedAt: outgoing.CreatedAt}, reply)
			l.tick()
		}
	}
	for _, batch := range l.incoming {
		for _, request := range l.split(batch) {
			l.bytesIn += encodedRequest(request)
			l.bytesOut += encodedReply(l.node.HandlePromise(l.now, request))
			l.messages++
			l.tick()
		}
	}
}

// tick does what the driver does after each input.
func (l *controlLoad) tick() {
	l.node.Tick(l.now)
	l.node.TakeEffects()
	l.node.NextTick(l.now)
}

// split returns the messages to send: a single one, or one per claim in the
// unbatched variant.
func (l *controlLoad) split(request authority.PromiseRequest) []authority.PromiseRequest {
	if !l.unbatched {
		return []authority.PromiseRequest{request}
	}
	var single []authority.PromiseRequest
	for _, claim := range request.Claims {
		single = append(single, authority.PromiseRequest{Candidate: request.Candidate, To: request.To, Claims: []authority.ShardClaim{claim}})
	}
	return single
}

func wireInstance(i authority.Instance) *peerpb.Instance {
	return &peerpb.Instance{Name: i.Name, Incarnation: i.Incarnation}
}

func wireToken(t authority.Token) *peerpb.Token {
	return &peerpb.Token{Epoch: t.Epoch, Ballot: t.Ballot}
}

// encodedRequest encodes and decodes a request, and returns its size in bytes.
func encodedRequest(r authority.PromiseRequest) int {
	wire := &peerpb.PromiseRequest{Candidate: wireInstance(r.Candidate), To: wireInstance(r.To)}
	for _, c := range r.Claims {
		wire.Claims = append(wire.Claims, &peerpb.ShardClaim{Shard: c.Shard.String(), Token: wireToken(c.Token)})
	}
	return roundTrip(wire, &peerpb.PromiseRequest{})
}

// encodedReply encodes and decodes a reply, and returns its size in bytes.
func encodedReply(r authority.PromiseReply) int {
	wire := &peerpb.PromiseReply{Witness: wireInstance(r.Witness)}
	for _, c := range r.Replies {
		wire.Replies = append(wire.Replies, &peerpb.ClaimReply{
			Shard: c.Shard.String(), Promised: c.Promised, Highest: wireToken(c.Highest), Holder: wireInstance(c.Holder),
		})
	}
	return roundTrip(wire, &peerpb.PromiseReply{})
}

func roundTrip(message, into proto.Message) int {
	data, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	if err := proto.Unmarshal(data, into); err != nil {
		panic(err)
	}
	return len(data)
}

// BenchmarkControl measures the control load of one instance in steady state:
// the renewals that it sends and answers, including their encoding but not the
// network.
func BenchmarkControl(b *testing.B) {
	sizes := []struct{ instances, shards int }{{12, 24}, {12, 256}, {12, 1024}, {60, 256}, {930, 256}, {930, 930}}
	for _, size := range sizes {
		for _, variant := range []string{"batched", "naive"} {
			name := fmt.Sprintf("instances=%d/shards=%d/%s", size.instances, size.shards, variant)
			b.Run(name, func(b *testing.B) {
				l := newControlLoad(size.instances, size.shards, variant == "naive")
				for b.Loop() {
					l.round()
				}
				seconds := float64(b.N) * authority.DefaultTiming().RenewInterval.Seconds()
				b.ReportMetric(float64(l.messages)/seconds, "messages/s")
				b.ReportMetric(float64(l.bytesOut)/seconds, "B-sent/s")
				b.ReportMetric(float64(l.bytesIn)/seconds, "B-received/s")
				b.ReportMetric(100*b.Elapsed().Seconds()/seconds, "%core")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
