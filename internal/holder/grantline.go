package holder

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/owners"
)

// lateAnswer is the time from which on a line tells how long the answer to a grant took. It
// is far above the time that a healthy server takes.
const lateAnswer = 100 * time.Millisecond

// grantLine is one grant in a log line.
type grantLine struct {
	Service string `json:"service"`
	From    int    `json:"from"`
	To      int    `json:"to"`
	Server  string `json:"server"`
	StartMS int64  `json:"start_ms"`
	Fence   int64  `json:"fence"`
	// SentAt is left out if this tenure has sent no grant, but waits for that of an earlier one.
	SentAt     time.Time `json:"sent_at,omitzero"`
	ValidUntil time.Time `json:"valid_until"`
	// Outcome and AnswerMS, in milliseconds, are those of a new grant. AnswerMS is left out
	// if the answer was not late.
	Outcome  string `json:"outcome,omitempty"`
	AnswerMS int64  `json:"answer_ms,omitempty"`
	// Reason is why a grant is renewed no longer, and EndedAt since when.
	Reason  string    `json:"reason,omitempty"`
	EndedAt time.Time `json:"ended_at,omitzero"`
}

func newGrantLine(g owners.GrantChange) grantLine {
	line := grantLine{Service: g.Service, From: g.From, To: g.To, Server: g.Server.Name, StartMS: g.Server.StartMS, Fence: g.Fence,
		SentAt: g.SentAt.UTC(), ValidUntil: g.ValidUntil.UTC(), Reason: g.End.String(), EndedAt: g.EndedAt.UTC()}
	if g.End == owners.GrantGoesOn {
		line.Outcome = g.Outcome.String()
		if g.Took >= lateAnswer {
			line.AnswerMS = g.Took.Milliseconds()
		}
	}
	return line
}
