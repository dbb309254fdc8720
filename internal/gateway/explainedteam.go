package gateway

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// ExplainedTeam is the team of an explained request.
type ExplainedTeam struct {
	Name string
	Cap  fleet.Cap
	// LocalTokens is how many requests the instance could place by itself now, and
	// LocalChance the probability that it admits the next one. Both are 0 without a cap.
	LocalTokens, LocalChance float64
	retryAfter               time.Duration
}
