package soak

import (
	"context"
	"time"
)

// cutDomain cuts a failure domain off, once or several times in series. Links of all
// instances are impaired.
func (f *faults) cutDomain(ctx context.Context, e event) {
	for n := 0; n < e.count && ctx.Err() == nil; n++ {
		domain := domainName(e.targets[0])
		if e.targets[0] == holderTarget {
			domain = f.instance(holderTarget).caller.Domain
		}
		endImpairment := f.p.impairments.Begin(f.p.instanceNames()...)
		endCut := f.p.border.begin(domainCut{domain, e.direction})
		f.p.note("%s is cut off %s", domain, e.direction)
		select {
		case <-time.After(e.length / time.Duration(n+1)):
		case <-ctx.Done():
		}
		endCut()
		endImpairment()
		f.p.note("%s is no longer cut off %s", domain, e.direction)
		time.Sleep(e.pause)
	}
}
