package fleet

import "crypto/sha256"

// KeyDigest identifies an API key. Keys are looked up by their digest, so that the time of
// a look-up tells nothing about a key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}
