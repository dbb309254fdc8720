// Package quarantine detects requests that may crash backend servers and restricts how
// they run. It does no I/O and reads no clock.
package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Fingerprint identifies the content of a request, independent of its request ID.
type Fingerprint uint64

// FingerprintOf hashes the service, key, method, path and content digest of a request.
func FingerprintOf(r *request.Request) Fingerprint {
	var hash xxhash.Digest
	hash.Reset()
	for _, part := range []string{r.Service, r.Key, r.Method, r.Path} {
		// The separator distinguishes "ab","c" from "a","bc".
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	var digest [8]byte
	binary.LittleEndian.PutUint64(digest[:], r.Digest)
	_, _ = hash.Write(digest[:])
	return Fingerprint(hash.Sum64())
}
