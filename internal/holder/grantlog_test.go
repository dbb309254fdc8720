package holder

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// anyServer lists no server.
type anyServer struct{}

func (anyServer) Current(string, string) (fleet.Incarnation, bool) { return fleet.Incarnation{}, false }

// newRecord returns a record in which each server owns so many ranges, of which no two
// neighbours have one owner.
func newRecord(servers, rangesPerServer int) owners.Record {
	ranges := make([]owners.RecordRange, servers*rangesPerServer)
	size := owners.NumKeys / len(ranges)
	for n := range ranges {
		ranges[n] = owners.RecordRange{From: n * size, To: (n+1)*size - 1, Owner: fmt.Sprintf("i-%03d", n%servers), StartMS: 1}
	}
	ranges[len(ranges)-1].To = owners.NumKeys - 1
	return owners.Record{Epoch: 2, Services: map[string][]owners.RecordRange{"plots": ranges}}
}

// grantsIn returns the grants in the lines of an event.
func grantsIn(t *testing.T, log *logBuffer, e events.Event) []map[string]any {
	t.Helper()
	var found []map[string]any
	for _, line := range log.of(t, e) {
		for _, g := range line["grants"].([]any) {
			found = append(found, g.(map[string]any))
		}
	}
	return found
}

// Guards against a tenure over the largest fleet whose first or last grants exceed the rate of
// the log, so that lines are dropped.
func TestAllGrantsOfALargeFleetAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const servers, ranges, linesPerSecond = 400, 8, 200 // linesPerSecond is that of peridotmoor-entry
		var buffer logBuffer
		log := events.NewRateLimitedLogger(&buffer, linesPerSecond)
		now := time.Now()
		c := &Coordinator{table: owners.NewTable(newRecord(servers, ranges), "h", now), log: log, epoch: 2}
		for first := true; ; first = false {
			orders := c.table.TakeDueOrders(now, anyServer{})
			if len(orders) == 0 {
				break
			}
			is.True(first || len(orders) <= 2*servers)
			for _, o := range orders {
				c.table.Apply(owners.OrderResult{Order: o, Outcome: owners.OutcomeDone, Ended: now})
			}
			c.logGrants()
		}
		is.True(c.endGrants(now) > owners.GrantDuration)
		c.logGrants()
		log.Close()
		is.Equal(len(grantsIn(t, &buffer, events.KeysGranted)), servers*ranges)
		is.Equal(len(grantsIn(t, &buffer, events.KeyGrantsEnded)), servers*ranges)
		is.Equal(len(buffer.of(t, events.EventsDropped)), 0)
	})
}

// Guards against lines that lack what tells two owners of a key apart.
func TestGrantLinesNameServerFenceAndTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var buffer logBuffer
		log := events.NewLogger(&buffer)
		now := time.Now()
		c := &Coordinator{table: owners.NewTable(newRecord(2, 1), "h", now), log: log, epoch: 2}
		for _, o := range c.table.TakeDueOrders(now, anyServer{}) {
			took := time.Millisecond
			if o.Server.Name == "i-001" {
				took = 300 * time.Millisecond
			}
			c.table.Apply(owners.OrderResult{Order: o, Outcome: owners.OutcomeDone, Ended: now.Add(took)})
		}
		c.logGrants()
		c.endGrants(now.Add(time.Second))
		c.logGrants()
		log.Close()
		is.Equal(buffer.of(t, events.KeysGranted)[0]["epoch"], float64(2))
		given := map[string]map[string]any{}
		for _, g := range grantsIn(t, &buffer, events.KeysGranted) {
			given[g["server"].(string)] = g
			is.Equal(g["service"], "plots")
			is.Equal(g["start_ms"], float64(1))
			is.Equal(g["sent_at"], now.UTC().Format(time.RFC3339Nano))
			is.Equal(g["outcome"], "done")
			is.True(g["fence"].(float64) > 0)
		}
		is.Equal([]any{given["i-000"]["from"], given["i-000"]["to"], given["i-001"]["from"], given["i-001"]["to"]}, []any{0.0, 32767.0, 32768.0, 65535.0})
		is.Equal(given["i-000"]["answer_ms"], nil)
		is.Equal(given["i-001"]["answer_ms"], float64(300))
		for _, g := range grantsIn(t, &buffer, events.KeyGrantsEnded) {
			is.Equal(g["reason"], "tenure-ended")
			is.Equal(g["fence"], given[g["server"].(string)]["fence"])
			is.Equal(g["valid_until"], given[g["server"].(string)]["valid_until"])
		}
	})
}
