package store

import "github.com/pkg/errors"

// The typed failures of a store call. Test with errors.Is.
var (
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("store: no such key or lease")
	// ErrConflict means that the key has another revision than the one given.
	ErrConflict = errors.New("store: the key was changed by another writer; read it again and repeat the change")
	// ErrUnavailable means that the store did not take the call; no change took effect.
	ErrUnavailable = errors.New("store: not available; in-force settings and grants go on, repeat the call later")
	// ErrUncertain means that the answer was lost; the change may have taken effect.
	ErrUncertain = errors.New("store: the answer was lost; read the key back to learn whether the change took effect")
	// ErrTooLarge means that the value exceeds the store's limit of 1 MB.
	ErrTooLarge = errors.New("store: the value exceeds 1 MB; split or shorten it")
)

// MaxValueBytes is the largest value that the platform's store holds.
const MaxValueBytes = 1 << 20
