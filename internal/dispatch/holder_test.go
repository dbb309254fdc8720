package dispatch

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"peridotmoor.org/peridotmoor/internal/admission"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/budget"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/quarantine"
	"peridotmoor.org/peridotmoor/internal/record"
	"peridotmoor.org/peridotmoor/internal/request"
	"peridotmoor.org/peridotmoor/internal/route"
)

var testShard = key.ShardID{Service: "bosho", Index: 0}

// holder is one tenure of the test shard with everything below it.
type holder struct {
	dispatcher *Dispatcher
	keeper     *record.ReplicatedTable
	views      atomic.Pointer[route.View]
	targets    []*route.Target
	list       *quarantine.List
	budget     *budget.Budget
}

// holderOptions says what differs from a holder with mirrors and a long tenure.
type holderOptions struct {
	self       authority.Instance
	token      authority.Token
	network    *fakeNetwork
	witnesses  *fakeWitnesses
	candidates []authority.Instance
	first      bool
	keyed      bool
	slots      int
	limits     Limits
	servers    []*fakeServer
}

func instance(n int) authority.Instance {
	return authority.Instance{Name: fmt.Sprintf("entry-%d", n), Incarnation: "a"}
}

// newHolder must run in a synctest bubble: it waits until the mirrors have joined.
func newHolder(o holderOptions) *holder {
	h := openHolder(o)
	time.Sleep(100 * time.Millisecond)
	synctest.Wait()
	return h
}

func openHolder(o holderOptions) *holder {
	h := &holder{list: quarantine.NewList(), budget: budget.New()}
	h.keeper = record.Open(context.Background(), record.ReplicatedTableOptions{
		Shard: testShard, Token: o.token, Self: o.self, MirrorClient: o.network,
		MirrorSets: &fakeSets{witnesses: o.witnesses, token: o.token}, FirstTenure: o.first,
	})
	h.keeper.SetCandidates(o.candidates)
	h.publish(o)
	var limits atomic.Pointer[Limits]
	limits.Store(&o.limits)
	h.dispatcher = New(Options{
		Self: o.self, Views: &h.views, Records: h.keeper,
		Quarantine: h.list, Budget: h.budget, Limits: &limits,
	})
	return h
}

func (h *holder) publish(o holderOptions) {
	for _, s := range o.servers {
		gate := admission.New(admission.Options{Server: s.name, Slots: max(o.slots, 1)})
		h.targets = append(h.targets, &route.Target{Name: s.name, Server: s, Gate: gate})
	}
	now := time.Now()
	view := &route.View{
		Shard: testShard, Keyed: o.keyed, Targets: h.targets,
		Tenure: &authority.Tenure{Shard: testShard, Token: o.token, Holder: o.self, Since: now, End: now.Add(time.Hour)},
	}
	all := route.Range{Bounds: key.Range{}, State: route.NewRangeState()}
	if len(h.targets) > 0 {
		all.Owner = h.targets[0]
	}
	view.Ranges = []route.Range{all}
	h.views.Store(view)
}

func (h *holder) close() {
	h.keeper.Close()
	for _, t := range h.targets {
		t.Gate.Close()
	}
}

// newRequest returns a request that was created now with a deadline of 1 s.
func newRequest(idempotent bool) *request.Request {
	return &request.Request{
		ID: newID(time.Now()), Service: "bosho", Key: "grave-17", KeyHash: key.HashOf("grave-17"),
		Method: "POST", Path: "/renewals", Idempotent: idempotent,
		Deadline: time.Now().Add(time.Second), Digest: 17,
	}
}

var idSequence atomic.Uint64

// newID returns a UUID version 7 with the given creation time.
func newID(created time.Time) string {
	var id uuid.UUID
	ms := uint64(created.UnixMilli())
	sequence := idSequence.Add(1)
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
		id[10+i] = byte(sequence >> (8 * (5 - i)))
	}
	id[6], id[8] = 0x70, 0x80
	return id.String()
}
