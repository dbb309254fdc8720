package soak

import (
	"fmt"
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/soak/check"
	"peridotmoor.org/peridotmoor/internal/holder"
)

// oddWriteInterval is the time between two changes of the odd entries during an event.
const oddWriteInterval = 100 * time.Millisecond

// writeOddly writes as another program does that shares the store.
func (f *faults) writeOddly(e event) {
	shared := f.p.kv.Store()
	switch e.kind {
	case eventOddEntries:
		for end := time.Now().Add(e.length); time.Now().Before(end); time.Sleep(oddWriteInterval) {
			f.p.putOddEntries()
		}
	case eventSpoilRecord:
		shared.Put(holder.KeyRecord, f.p.odd.spoiledValue())
	case eventSpoilHolder:
		shared.Put(holder.KeyHolder, f.p.odd.spoiledValue())
	case eventSpoilConfig:
		f.storeFault.Lock()
		defer f.storeFault.Unlock()
		defer f.p.impairments.Begin(check.Store)()
		shared.Put(configKey, f.p.odd.spoiledValue())
		time.Sleep(e.length)
		f.p.configuration.restore()
	}
}

// putOddEntries writes odd entries among those of the backend servers, or changes them.
func (p *play) putOddEntries() {
	for n := range oddEntryCount {
		p.kv.Store().Put(fmt.Sprintf("servers/a-odd-%d", n), p.odd.next())
	}
}
