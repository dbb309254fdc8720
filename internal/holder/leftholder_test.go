package holder

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// Guards against an instance that leaves its holder, as the store names none any more, without
// a line: the log would show it following two holders at once.
func TestInstanceThatLeavesItsHolderLogsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var buffer logBuffer
		log := events.NewLogger(&buffer)
		registry := facts.NewRegistry(nil, nil)
		registry.ConfirmRead(time.Now().Add(-time.Minute)) // the holder cannot read the store
		client := newFakeClient(registry)
		e := NewElector(Options{Store: memstore.New(), Registry: registry, Reader: facts.NewReader(emptySource{}, registry, nil), Client: client, Log: log})
		e.monitorLink(t.Context(), fakeLink(make(chan struct{})), link.NewFactsReceiver(registry), Identity{Name: "entry-1", Incarnation: "K55N5AKH", Tenure: 1})
		log.Close()
		lines := buffer.of(t, events.HolderLost)
		is.Equal(len(lines), 1)
		is.Equal(lines[0]["holder"], "entry-1/K55N5AKH")
	})
}
