package soak

import (
	"fmt"
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/tcpproxy"
)

// holderTarget as the target of an event means the instance that is the holder at that time.
const holderTarget = -1

// event is one entry of a schedule.
type event struct {
	// at is the time since the start of the load.
	at   time.Duration
	kind eventKind
	// targets are numbers of instances or backend servers.
	targets []int
	// length is how long a fault lasts, or the time between SIGTERM and the second one.
	length time.Duration
	// pause is the time until an ended process is started again, and between the stops of several instances.
	pause time.Duration
	// rate is the rate limit that a server names, in requests/s.
	rate float64
	// count is the number of cuts in series.
	count int
	// direction is that of the cut of a failure domain, whose number is in targets.
	direction cutDirection
	// fault is the fault of connections.
	fault tcpproxy.Fault
}

func (e event) String() string {
	text := fmt.Sprintf("%6.2fs %s", e.at.Seconds(), e.kind)
	if len(e.targets) > 0 {
		text += fmt.Sprintf(" %v", e.targets)
	}
	if e.fault.Kind != "" {
		text += fmt.Sprintf(" %s of %.0f%%", e.fault.Kind, 100*e.fault.Share)
	}
	if e.direction != "" {
		text += fmt.Sprintf(" %s, %d in series", e.direction, e.count)
	}
	return text + fmt.Sprintf(" length %v pause %v", e.length.Round(time.Millisecond), e.pause.Round(time.Millisecond))
}
