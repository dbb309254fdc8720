// Package credential reads what callers show to prove their team. It never keeps a key
// itself, so that a key cannot be logged.
package credential

import (
	"strings"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Credential is what a caller shows to prove its team.
type Credential struct {
	// Given is set if the caller shows a credential, and Malformed if it holds no key.
	Given, Malformed bool
	// Digest is the digest of the key.
	Digest fleet.KeyDigest
}

// Parse returns the credential in the values of a header, each of the form "SCHEME KEY",
// where the case of the scheme does not matter and one or more spaces follow. Several values
// are malformed, since they could name two teams.
func Parse(scheme string, values []string) Credential {
	if len(values) == 0 {
		return Credential{}
	}
	given, rest, _ := strings.Cut(values[0], " ")
	key := strings.TrimLeft(rest, " ")
	if len(values) > 1 || !strings.EqualFold(given, scheme) || key == "" || !fleet.IsVisible(key) {
		return Credential{Given: true, Malformed: true}
	}
	return Credential{Given: true, Digest: fleet.DigestKey(key)}
}
