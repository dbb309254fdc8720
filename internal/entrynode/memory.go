package entrynode

import (
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/membudget"
)

// newMemoryAccount returns the account of what the connections of an instance hold, on a
// machine with the given memory in bytes, or of the smallest size if that is 0.
func newMemoryAccount(machine int64, log *events.Logger) *membudget.Account {
	if machine == 0 {
		machine = defaultMemoryMB << 20
	}
	a := membudget.New(membudget.LimitsFor(machine))
	a.OnEnd(func(e membudget.Ended) {
		log.Emit(events.ConnectionEndedForMemory, "bytes", e.Bytes, "idle_ms", e.Idle.Milliseconds(), "held", e.Total)
	})
	a.OnRefuse(func(held int64) { log.Emit(events.RequestRefusedForMemory, "held", held) })
	return a
}
