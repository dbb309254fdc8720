package holder

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// followedLink is the link to the holder that this instance follows.
type followedLink struct {
	conn     link.Link
	receiver *link.FactsReceiver
}

// sendReading sends the holder what this instance has read from the store. If the link has
// ended, the instance notices by itself.
func (l followedLink) sendReading() {
	reading, readAt := l.receiver.EncodeReading(time.Now())
	l.conn.Send(&linkpb.Up{Facts: reading, ReadUs: l.conn.EncodeTime(readAt)})
}

// ShareReading tells the holder what this instance has just read from the store by itself. It
// is safe for concurrent use.
func (e *Elector) ShareReading() {
	if l := e.followed.Load(); l != nil {
		l.sendReading()
	}
}
