package holder

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// fakeLink is a link to a holder that takes no messages.
type fakeLink chan struct{}

func (l fakeLink) Send(*linkpb.Up) bool       { return true }
func (l fakeLink) Done() <-chan struct{}      { return l }
func (l fakeLink) EncodeTime(time.Time) int64 { return 0 }
func (l fakeLink) Close()                     {}
