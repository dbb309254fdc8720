package gateway

import "time"

// serverWord is what a server has said of itself in a response. Neither serving nor refuses
// is set if it did not answer.
type serverWord struct {
	// askedAt is when the request was sent.
	askedAt time.Time
	// serving is what shows that the server is not leaving, or evidenceNone.
	serving evidence
	// refuses is set if the server takes no new work.
	refuses bool
}
