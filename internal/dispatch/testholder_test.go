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

// testHolder is one tenure of the test shard, with its dispatcher, records and servers.
type testHolder struct {
	dispatcher  *Dispatcher
	table       *record.ReplicatedTable
	views       atomic.Pointer[route.View]
	targets     []*route.Target
	quarantine  *quarantine.List
	retryBudget *budget.Budget
}

// holderOptions configures a testHolder.
type holderOptions struct {
	self        authority.Instance
	token       authority.Token
	network     *fakeNetwork
	witnesses   *fakeWitnesses
	candidates  []authority.Instance
	firstTenure bool
	keyed       bool
	slots       int
	limits      Limits
	servers     []*fakeServer
}

func instance(n int) authority.Instance {
	return authority.Instance{Name: fmt.Sprintf("entry-%d", n), Incarnation: "a"}
}

// newHolder returns a holder whose mirrors have joined. It must run in a synctest bubble.
func newHolder(o holderOptions) *testHolder {
	h := startHolder(o)
	time.Sleep(100 * time.Millisecond)
	synctest.Wait()
	return h
}

func startHolder(o holderOptions) *testHolder {
	h := &testHolder{quarantine: quarantine.NewList(), retryBudget: budget.New()}
	h.table = record.Open(context.Background(), record.ReplicatedTableOptions{
		Shard: testShard, Token: o.token, Self: o.self, MirrorClient: o.network,
		MirrorSets: &fakeMirrorSetConsensus{witnesses: o.witnesses, token: o.token}, FirstTenure: o.firstTenure,
	})
	h.table.SetCandidates(o.candidates)
	h.publish(o)
	var limits atomic.Pointer[Limits]
	limits.Store(&o.limits)
	h.dispatcher = New(Options{
		Self: o.self, Views: &h.views, Records: h.table,
		Quarantine: h.quarantine, RetryBudget: h.retryBudget, Limits: &limits,
	})
	return h
}

func (h *testHolder) publish(o holderOptions) {
	for _, s := range o.servers {
		limiter := admission.New(admission.Options{Server: s.name, Slots: max(o.slots, 1)})
		h.targets = append(h.targets, &route.Target{Name: s.name, Server: s, Limiter: limiter})
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

func (h *testHolder) close() {
	h.table.Close()
	for _, t := range h.targets {
		t.Limiter.Close()
	}
}

// newRequest returns a request that is created now and has a deadline in 1 s.
func newRequest(idempotent bool) *request.Request {
	return &request.Request{
		ID: newID(time.Now()), Service: "bosho", Key: "grave-17", KeyHash: key.HashOf("grave-17"),
		Method: "POST", Path: "/renewals", Idempotent: idempotent,
		Deadline: time.Now().Add(time.Second), Digest: 17,
	}
}

var idSequence atomic.Uint64

// newID returns a version 7 UUID with the given creation time.
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
