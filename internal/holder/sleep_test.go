package holder

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against calls to a store that is away that grow with the fleet.
func TestTriesOfTheFleetAreBounded(t *testing.T) {
	is := is.New(t)
	perSecond := func(instances int) float64 {
		total := time.Duration(0)
		const draws = 1000
		for range draws {
			total += fleetBackoff(instances)
		}
		return float64(instances) / (total.Seconds() / draws)
	}
	small, large := perSecond(backoffFleetSize), perSecond(930)
	is.True(large < 1.1*small)
	is.True(perSecond(1) >= 1/fleetBackoff(1).Seconds()*0.5) // a lone instance is not slowed
}

// Guards against a large fleet whose instances failed together and all wait for so
// long that news are late: one that reaches the store must try soon.
func TestSomeInstanceTriesAgainSoon(t *testing.T) {
	is := is.New(t)
	const instances = 84
	first := time.Hour
	for range instances {
		first = min(first, fleetBackoff(instances))
	}
	is.True(first < 2*fleetBackoff(1))
}
