package owners

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/quorum"
)

// A successor that started after a server was unlisted must find its address in the
// record, or it could not send orders to it.
func TestRecordListsAllIncarnations(t *testing.T) {
	is := is.New(t)
	r := Record{Epoch: 3, Holder: "h", Fleet: quorum.Fleet{"entry-1", "entry-2"}, Services: map[string][]RecordRange{
		"s": {{From: 0, To: NumKeys - 1, Owner: "a", StartMS: 1, Previous: "b", PreviousStartMS: 2}}}}
	r.Addresses = map[string]string{}
	for i := range r.Incarnations() {
		r.Addresses[i.String()] = i.Name + ":1"
	}
	text, err := r.Encode()
	is.NoErr(err)
	read, err := DecodeRecord(text, 3)
	is.NoErr(err)
	is.Equal(read.Addresses[fleet.Incarnation{Name: "a", StartMS: 1}.String()], "a:1")
	is.Equal(read.Addresses[fleet.Incarnation{Name: "b", StartMS: 2}.String()], "b:1")
	is.Equal(read.Fleet, r.Fleet)
}

// FuzzDecodeRecord checks that no stored record makes the holder panic.
func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"epoch":1,"holder":"h","services":{"s":[{"from":0,"to":65535,"owner":"a","born":1,"fence":5}]}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		const revision = 1000
		if r, err := DecodeRecord(text, revision); err == nil {
			r.OwnedRanges()
			r.Incarnations()
			if r.Epoch < 1 || r.Epoch > revision {
				t.Errorf("epoch %d accepted", r.Epoch)
			}
			table := NewTable(r, "h", time.Unix(1000, 0))
			for service := range r.Services {
				for _, key := range []int{0, NumKeys / 2, NumKeys - 1} {
					if len(r.Services[service]) > 0 && table.find(service, key) == nil {
						t.Fatalf("no range has key %d of %q", key, service)
					}
				}
			}
		}
	})
}

// Guards against keys that are granted while servers hold them by grants that the spoiled
// record no longer tells of.
func TestNoKeysAreGrantedWhileRangesAreLost(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	until := now.Add(20 * time.Second)
	table := NewTable(Record{Epoch: 7, RangesLost: true}, "holder", until)
	for ; now.Before(until); now = now.Add(time.Second) {
		is.True(table.RangesLost(now))
		is.True(!table.Plan(now, service, candidates("a", "b"), uniformRates{}))
	}
	is.True(!table.RangesLost(now))
	is.True(table.Plan(now, service, candidates("a", "b"), uniformRates{}))
	record := table.Record()
	record.Holder = "h"
	is.NoErr(record.check(7))
}

// Guards against an empty range of a server that is due less than one key, which makes the
// record unreadable.
func TestFirstPlanGivesNoEmptyRanges(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := NewTable(Record{Epoch: 1}, "h", now)
	list := candidates("a", "b", "c", "d")
	for i, slots := range []int{1, fleet.MaxSlots, 1, fleet.MaxSlots} {
		list[i].Slots = slots
	}
	table.Plan(now, service, list, uniformRates{})
	is.True(table.Plan(now.Add(firstPlanDelay), service, list, uniformRates{}))
	is.NoErr(table.Record().check(1))
}
