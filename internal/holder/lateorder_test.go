package holder

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// Guards against an order that leaves long after the check that the holder may send it and
// is in no log, and against lines for orders that were written at once or never.
func TestOrdersWrittenLateAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var buffer logBuffer
		log := events.NewLogger(&buffer)
		var delays []time.Duration
		c := &Coordinator{log: log, epoch: 2, onOrderWritten: func(d time.Duration) { delays = append(delays, d) }}
		checkedAt := time.Now()
		order := owners.Order{Service: "plots", Interval: owners.Interval{From: 3, To: 9}, Server: fleet.Incarnation{Name: "i-1", StartMS: 5}, Fence: 2<<20 + 1, CreatedAt: checkedAt}
		for _, delay := range []time.Duration{time.Millisecond, lateWrite - time.Microsecond, lateWrite, 3 * time.Second} {
			c.observeWrite(owners.OrderResult{Order: order, WrittenAt: checkedAt.Add(delay), Ended: checkedAt.Add(delay + time.Second), Outcome: owners.OutcomeNoAnswer})
		}
		c.observeWrite(owners.OrderResult{Order: order, Ended: checkedAt.Add(time.Minute), Outcome: owners.OutcomeUnsent})
		log.Close()
		is.Equal(len(delays), 4)
		lines := buffer.of(t, events.OrderWrittenLate)
		is.Equal(len(lines), 2)
		is.Equal(lines[0]["written_ms"], float64(lateWrite.Milliseconds()))
		is.Equal(lines[1]["written_ms"], float64(3000))
		is.Equal(lines[1]["ended_ms"], float64(4000))
		is.Equal(lines[1]["checked_at"], checkedAt.UTC().Format(time.RFC3339Nano))
		is.Equal([]any{lines[1]["epoch"], lines[1]["action"], lines[1]["service"], lines[1]["from"], lines[1]["to"], lines[1]["server"], lines[1]["start_ms"], lines[1]["fence"], lines[1]["outcome"]},
			[]any{2.0, "grant", "plots", 3.0, 9.0, "i-1", 5.0, float64(2<<20 + 1), "silent"})
	})
}

// Guards against a holder that is too slow to send its orders in time and whose log looks as
// if their servers could not be reached.
func TestOrdersNotSentInTimeAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var buffer logBuffer
		log := events.NewLogger(&buffer)
		c := &Coordinator{log: log, table: owners.NewTable(owners.Record{Epoch: 2}, "h", time.Now())}
		for _, late := range []bool{true, false} {
			c.applyResult(owners.OrderResult{Order: owners.Order{Service: "plots"}, Outcome: owners.OutcomeUnsent, Expired: late})
		}
		log.Close()
		lines := buffer.of(t, events.OrderEnded)
		is.Equal(len(lines), 2)
		is.Equal([]any{lines[0]["late"], lines[1]["late"]}, []any{true, false})
	})
}
