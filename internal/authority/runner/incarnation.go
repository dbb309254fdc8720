package runner

import (
	"crypto/rand"
	"encoding/base64"
)

// incarnationBytes makes a collision under the same name unlikely for any
// number of restarts. Renewals carry incarnations, so they are short.
const incarnationBytes = 8

// NewIncarnation returns a random incarnation of 11 characters for a starting
// process. It must be generated at each start and never be stored.
func NewIncarnation() string {
	var random [incarnationBytes]byte
	// Read never returns an error; see crypto/rand.
	_, _ = rand.Read(random[:])
	return base64.RawURLEncoding.EncodeToString(random[:])
}
