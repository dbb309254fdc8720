package soak

import "peridotmoor.org/peridotmoor/internal/dev/tcpproxy"

// cutDirection is what a cut of a failure domain does to bytes across its border.
type cutDirection string

const (
	cutBoth     cutDirection = "both ways"
	cutOutbound cutDirection = "outbound" // bytes that leave the domain are held
	cutInbound  cutDirection = "inbound"  // bytes that enter the domain are held
	cutReset    cutDirection = "with resets"
)

// fault returns the fault of connections across the border. outgoing connections have
// their client in the domain.
func (d cutDirection) fault(outgoing bool) tcpproxy.Fault {
	fault := tcpproxy.Fault{Kind: tcpproxy.FaultSilent, Share: 1}
	switch {
	case d == cutReset:
		fault.Kind = tcpproxy.FaultReset
	case d == cutOutbound && outgoing, d == cutInbound && !outgoing:
		fault.Kind = tcpproxy.FaultSilentRequests
	case d != cutBoth:
		fault.Kind = tcpproxy.FaultSilentResponses
	}
	return fault
}
