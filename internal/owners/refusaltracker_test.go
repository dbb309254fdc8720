package owners

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A server at its connection limit refuses connections although it is running. It
// must not be taken for one that has ended, or its keys would go to another server.
func TestRefusalsProveProcessEndOnlyWhenIdle(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	refused := func(after time.Duration) OrderResult {
		return OrderResult{Order: Order{Server: incarnation("a")}, Outcome: OutcomeRefused, Ended: now.Add(after)}
	}
	var r RefusalTracker
	for i := range 10 {
		is.Equal(r.Classify(refused(time.Duration(i)*time.Second), false).Outcome, OutcomeRefused) // requests are running
	}
	is.Equal(r.Classify(refused(0), true).Outcome, OutcomeRefused) // a single refusal proves nothing
	is.Equal(r.Classify(refused(10*time.Millisecond), true).Outcome, OutcomeRefused)
	is.Equal(r.Classify(refused(minRefusalPeriod), true).Outcome, OutcomeProcessEnded)

	done := refused(0)
	done.Outcome = OutcomeDone
	r.Classify(done, true)
	is.Equal(r.Classify(refused(time.Second), true).Outcome, OutcomeRefused) // an answer resets the count
}
