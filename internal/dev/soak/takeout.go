package soak

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/soak/check"
)

// domainOutPrefix precedes the names of the failure domains that the operators take out.
const domainOutPrefix = "op/evacuate/"

// takeOut takes a failure domain out, once or several times in series. Only one domain is out at
// a time.
func (f *faults) takeOut(ctx context.Context, e event) {
	f.domainOut.Lock()
	defer f.domainOut.Unlock()
	domain := domainName(e.targets[0])
	for n := 0; n < e.count && ctx.Err() == nil; n++ {
		f.writeDomain(func() { f.p.kv.Store().Put(domainOutPrefix+domain, []byte("{}")) })
		d := check.DomainOut{Domain: domain, AckedAt: time.Now()}
		f.p.note("%s is taken out", domain)
		select {
		case <-time.After(e.length):
		case <-ctx.Done():
		}
		f.writeDomain(func() { f.p.kv.Store().Delete(domainOutPrefix + domain) })
		d.TakenBackAt = time.Now()
		f.p.addDomainOut(d)
		time.Sleep(e.pause)
	}
}

// writeDomain writes once the store accepts it.
func (f *faults) writeDomain(write func()) {
	f.storeFault.Lock()
	defer f.storeFault.Unlock()
	write()
}
