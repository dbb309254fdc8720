package keyowners

import "time"

// Grant is a grant of the key by one tenure to one server under one fence, with its renewals.
type Grant struct {
	Instance string `json:"instance"`
	Epoch    int64  `json:"epoch"`
	Server   string `json:"server"`
	StartMS  int64  `json:"start_ms"`
	Fence    int64  `json:"fence"`
	// SentAt is when the first order was sent, and Outcome that of the last one that is logged.
	SentAt  time.Time `json:"sent_at"`
	Outcome string    `json:"outcome"`
	// End is why the grant ended, and Until the latest time at which it was valid, both by the
	// clock of the instance. They are zero if no line tells.
	End   string    `json:"end,omitempty"`
	Until time.Time `json:"until,omitzero"`
}

// sameServer reports whether both grants are to one process of a server.
func (g Grant) sameServer(other Grant) bool {
	return g.Server == other.Server && g.StartMS == other.StartMS
}

// sameTenure reports whether both grants are from one tenure.
func (g Grant) sameTenure(other Grant) bool {
	return g.Instance == other.Instance && g.Epoch == other.Epoch
}

// end ends the grant, unless it has ended before that.
func (g *Grant) end(reason string, until time.Time) {
	if g.Until.IsZero() || until.Before(g.Until) {
		g.End, g.Until = reason, until
	}
}
