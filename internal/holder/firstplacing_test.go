package holder

import (
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// Guards against a request that is refused for want of a server because the holder has not looked
// at facts which it has already, as in the first moments of a fleet.
func TestAttemptIsPlacedByTheLatestFacts(t *testing.T) {
	verdict := placeWith(t, newPlacingCoordinator(t), &linkpb.Up{}, 0)
	is.New(t).Equal(verdict.Server, "a")
}
