package soak

import (
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/dev/tcpproxy"
)

// Guards against cuts that affect connections inside a domain or between the other ones,
// that hold the wrong direction, or that end with another cut.
func TestBorder(t *testing.T) {
	is := is.New(t)
	b := newBorder(&play{})
	endOutbound := b.begin(domainCut{"domain-0", cutOutbound})
	kinds := func(domain string) map[string]tcpproxy.FaultKind {
		kinds := map[string]tcpproxy.FaultKind{}
		for source, fault := range b.faultsInto(domain) {
			kinds[source] = fault.Kind
		}
		return kinds
	}
	is.Equal(kinds("domain-0"), map[string]tcpproxy.FaultKind{"domain-1": tcpproxy.FaultSilentResponses, "domain-2": tcpproxy.FaultSilentResponses})
	is.Equal(kinds("domain-1"), map[string]tcpproxy.FaultKind{"domain-0": tcpproxy.FaultSilentRequests})
	is.Equal(kinds(storeDomain), map[string]tcpproxy.FaultKind{"domain-0": tcpproxy.FaultSilentRequests})
	is.True(b.holdsReports("domain-0"))
	is.True(!b.holdsReports("domain-1"))

	endInbound := b.begin(domainCut{"domain-0", cutInbound})
	is.Equal(kinds("domain-1"), map[string]tcpproxy.FaultKind{"domain-0": tcpproxy.FaultSilent})
	endReset := b.begin(domainCut{"domain-1", cutReset})
	is.Equal(kinds("domain-1"), map[string]tcpproxy.FaultKind{"domain-0": tcpproxy.FaultReset, "domain-2": tcpproxy.FaultReset})
	endReset()
	endOutbound()
	is.Equal(kinds("domain-1"), map[string]tcpproxy.FaultKind{"domain-0": tcpproxy.FaultSilentResponses})
	is.True(!b.holdsReports("domain-0"))
	endInbound()
	is.Equal(len(kinds("domain-1")), 0)
}
