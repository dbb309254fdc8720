package holder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// Guards against service times that never reach the record on a calm day, when no keys move, and
// against a write with each tick.
func TestServiceTimesAreRecorded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := &Coordinator{scheduler: placing.New(placing.RetryBudget{}, nil, nil)}
	learned := fleet.RelativeTimes{"s": {"a": 50, "b": 150, "c": 300}}
	c.scheduler.UseRelativeTimes(learned)
	var servers []fleet.Server
	for name := range learned["s"] {
		servers = append(servers, fleet.Server{Incarnation: fleet.Incarnation{Name: name}, Service: "s", Slots: 1})
	}
	c.scheduler.Update(now, map[string]*fleet.Service{"s": {Name: "s", Keyed: true}}, servers, func(*fleet.Server) bool { return false })
	is.True(c.timesRecordDue(now))
	is.True(!c.timesRecordDue(now.Add(time.Second)))
	c.storedAt, c.recordedTimes = now.Add(2*time.Second), c.scheduler.RelativeTimes()
	is.True(!c.timesRecordDue(now.Add(timesRecordInterval + 3*time.Second)))
	is.True(!c.timesRecordDue(now.Add(3 * timesRecordInterval))) // nothing has changed
}
