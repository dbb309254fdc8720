// Package quarantine keeps requests that crash servers away from them. It is pure.
package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Fingerprint identifies the content of a request without its request ID.
type Fingerprint uint64

// FingerprintOf hashes service, key, method, path and content digest.
func FingerprintOf(r *request.Request) Fingerprint {
	var hash xxhash.Digest
	hash.Reset()
	for _, part := range []string{r.Service, r.Key, r.Method, r.Path} {
		// A separator keeps "ab","c" apart from "a","bc".
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	var digest [8]byte
	binary.LittleEndian.PutUint64(digest[:], r.Digest)
	_, _ = hash.Write(digest[:])
	return Fingerprint(hash.Sum64())
}
