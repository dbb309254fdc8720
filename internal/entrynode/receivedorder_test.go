package entrynode

import (
	"fmt"
	"time"
)

// receivedOrder is a grant or release as a backend server received and handled it.
type receivedOrder struct {
	server   string
	action   string // path of the call
	from, to int
	fence    int64
	// arrivedAt is when the kernel received the call, startedAt when the handler started and
	// appliedAt when the order took effect.
	arrivedAt, startedAt, appliedAt time.Time
	// expiresAt is the end of the grant, or zero.
	expiresAt time.Time
	status    int
}

func (o receivedOrder) contains(key int) bool {
	return o.from <= key && key <= o.to
}

// String returns one line with times in UTC, as in the log.
func (o receivedOrder) String() string {
	return fmt.Sprintf("%s %s %s %d-%d fence %d status %d arrived %s started %s expires %s", clock(o.appliedAt), o.server, o.action, o.from, o.to, o.fence, o.status,
		clock(o.arrivedAt), clock(o.startedAt), clock(o.expiresAt))
}

// clock formats a time like the log does, without the date.
func clock(t time.Time) string {
	return t.UTC().Format("15:04:05.000000")
}
