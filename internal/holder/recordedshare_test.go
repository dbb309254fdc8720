package holder

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// Guards against a weak machine that is elected because it has just started and does not
// know that there are strong ones.
func TestNewInstanceLearnsTheStrongestMachineFromTheRecord(t *testing.T) {
	cases := []struct {
		name        string
		recorded    float64
		electedSoon bool // whether it is elected within half of maxElectionDelay
	}{
		{"strong machines", 0.8, false},
		{"equal machines", 0.16, true},
		{"record without shares", 0, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				shared := memstore.New()
				text, err := owners.Record{Epoch: 1, Holder: "former", MaxProcessorShare: tc.recorded}.Encode()
				is.NoErr(err)
				shared.Put(KeyRecord, text)
				_, end := startElector(t, shared, "entry-1", 0.16)
				time.Sleep(maxElectionDelay / 2)
				is.Equal(currentHolder(t, shared) == "entry-1", tc.electedSoon)
				time.Sleep(maxElectionDelay)
				is.Equal(currentHolder(t, shared), "entry-1")
				end()
			})
		})
	}
}

// Guards against a record that forgets the shares.
func TestRecordHoldsTheLargestShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		shared := memstore.New()
		e, end := startElector(t, shared, "entry-1", 0.4)
		time.Sleep(yieldDelay / 2)
		c := e.coordinator.Load()
		c.enqueue(func() { c.yieldPlanned = true }) // makes the holder write the record
		synctest.Wait()
		time.Sleep(time.Second)
		record, err := (&recordStore{store: shared}).read(t.Context())
		is.NoErr(err)
		is.Equal(record.MaxProcessorShare, 0.4)
		end()
	})
}
