package gateway

import "peridotmoor.org/peridotmoor/internal/fleet"

// Credential is what a caller shows to prove its team. It does not hold the key itself, so
// that the key cannot be logged.
type Credential struct {
	// Given is set if the caller shows a credential, and Malformed if it holds no key.
	Given, Malformed bool
	// Digest is the digest of the key.
	Digest fleet.KeyDigest
}
