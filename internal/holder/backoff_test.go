package holder

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a call rate during a store outage that grows with the fleet.
func TestTriesOfTheFleetAreBounded(t *testing.T) {
	is := is.New(t)
	perSecond := func(instances int) float64 {
		total := time.Duration(0)
		const draws = 1000
		for range draws {
			total += FleetBackoff(instances)
		}
		return float64(instances) / (total.Seconds() / draws)
	}
	small, large := perSecond(backoffFleetSize), perSecond(930)
	is.True(large < 1.1*small)
	is.True(perSecond(1) >= 1/FleetBackoff(1).Seconds()*0.5) // a single instance does not wait longer
}

// Guards against late changes in a large fleet in which all instances failed together
// and all wait long: some instance must retry soon.
func TestSomeInstanceTriesAgainSoon(t *testing.T) {
	is := is.New(t)
	const instances = 84
	first := time.Hour
	for range instances {
		first = min(first, FleetBackoff(instances))
	}
	is.True(first < 2*FleetBackoff(1))
}
