package keeper

import (
	"crypto/rand"
	"encoding/base64"
)

// incarnationBytes makes a repetition under the same name unlikely for any
// number of restarts. Renewals carry incarnations, so they are kept short.
const incarnationBytes = 8

// NewIncarnation returns the incarnation of a starting process, 11 characters.
// It must be drawn at each start and never be stored.
func NewIncarnation() string {
	var random [incarnationBytes]byte
	// Read never returns an error; see crypto/rand.
	_, _ = rand.Read(random[:])
	return base64.RawURLEncoding.EncodeToString(random[:])
}
