package link

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// Guards against followers that read slowly and get a message for each change, up to a full
// queue and the end of the link, and against changes that they are then not told of: what has
// been taken for sending is told, what has not is told again as part of a later state.
func TestSlowFollowerGetsOneLaterState(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	holder, instance := facts.NewRegistry(nil, nil), facts.NewRegistry(nil, nil)
	receiver := NewFactsReceiver(instance)
	f := &Follower{}
	tell := func() {
		snapshot := holder.Snapshot()
		told, ok := f.Told()
		is.True(ok)
		message := NewSharedFacts(EncodeFacts(snapshot, told.Sent, told.Base, now))
		f.Tell(message, 0, Told{Base: snapshot, Sent: SentSequences{Listing: snapshot.ListingSequence}})
	}
	take := func() bool {
		d := &linkpb.Down{}
		shared := f.takeFacts(d)
		if shared != nil {
			receiver.Apply(shared.facts, time.Time{}, now)
		}
		return shared != nil
	}
	holder.UpdateListing(listed(1, "a", "b", "c"), now)
	tell()
	_, ok := f.Told()
	is.True(!ok) // the first facts are not taken back
	is.True(take())
	for revision := uint64(2); revision < 100; revision++ {
		switch revision % 3 {
		case 0:
			holder.UpdateListing(listed(revision, "a", "b", "c"), now)
		case 1:
			holder.UpdateListing(listed(revision, "a", "c", "d"), now)
		case 2:
			holder.UpdateListing(listed(revision, "c", "e"), now)
		}
		tell()
		if revision%7 != 0 {
			continue
		}
		is.True(take())
		is.True(!take()) // one message, however many changes there were
		is.Equal(names(instance), names(holder))
	}
	take()
	is.Equal(names(instance), names(holder))
}

// Guards against followers that cannot read messages whose facts are encoded once for several
// of them, as followers of earlier versions are.
func TestSharedFactsAreEncodedLikeOwnOnes(t *testing.T) {
	is := is.New(t)
	f := &linkpb.Facts{Epoch: 3, ListingRevision: 4, Listing: &linkpb.Listing{Servers: []*linkpb.Server{{Name: "a"}}}}
	own := &linkpb.Down{ReadUs: 5, SentUs: 6, Facts: []*linkpb.Facts{{Epoch: 2}}, Verdicts: []*linkpb.Verdict{{Number: 7}}}
	text, err := outgoingEncoding{}.Marshal(&outgoing{down: own, shared: NewSharedFacts(f)})
	is.NoErr(err)
	got := &linkpb.Down{}
	is.NoErr(proto.Unmarshal(text, got))
	own.Facts = append(own.Facts, f)
	is.True(proto.Equal(got, own))
}

// Guards against bytes that no kind of content accounts for, or two do.
func TestTrafficCountsAllBytesOnce(t *testing.T) {
	is := is.New(t)
	shared := NewSharedFacts(&linkpb.Facts{
		Epoch: 3, Listing: &linkpb.Listing{Servers: []*linkpb.Server{{Name: "a"}}}, Orders: &linkpb.Orders{Config: make([]byte, 300)},
		Ownership: &linkpb.Ownership{Ranges: []*linkpb.OwnedRange{{Service: "s", To: 9, Owner: "a"}}},
	})
	out := &outgoing{shared: shared, down: &linkpb.Down{
		SentUs: 6, Waiting: []uint64{1}, Verdicts: []*linkpb.Verdict{{Number: 7}}, Facts: []*linkpb.Facts{{Packed: make([]byte, 100)}}, Peers: []string{"p"},
	}}
	text, err := outgoingEncoding{}.Marshal(out)
	is.NoErr(err)
	var traffic Traffic
	traffic.count(out)
	sum := 0
	for _, k := range Kinds() {
		is.True(traffic.Bytes(k) > 0)
		sum += int(traffic.Bytes(k))
	}
	is.True(sum <= len(text) && sum > len(text)-8) // apart from the head of the shared facts
}
