package store

import "github.com/pkg/errors"

// The errors of store calls, for use with errors.Is.
var (
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("store: no such key or lease")
	// ErrConflict means that the key's revision is not the expected one.
	ErrConflict = errors.New("store: the key was changed by another writer; read it again and repeat the change")
	// ErrUnavailable means that the store did not accept the call; no write took effect.
	ErrUnavailable = errors.New("store: not available; in-force settings and grants go on, repeat the call later")
	// ErrUncertain means that the response was lost; the write may have taken effect.
	ErrUncertain = errors.New("store: the answer was lost; read the key back to learn whether the change took effect")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("store: the value exceeds 1 MB; split or shorten it")
)

// MaxValueBytes is the maximum size of a value in the platform's store.
const MaxValueBytes = 1 << 20
