package record

import (
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// ErrNotUUIDv7 means that a request ID is not of the version that contains its creation time.
var ErrNotUUIDv7 = errors.New("the request ID is not a UUID version 7 (RFC 9562)")

// CreatedAt returns the creation time that a request ID contains, in whole milliseconds.
func CreatedAt(id string) (time.Time, error) {
	parsed, err := uuid.Parse(id)
	if err != nil {
		return time.Time{}, errors.Wrapf(ErrNotUUIDv7, "%q", id)
	}
	if parsed.Version() != 7 {
		return time.Time{}, errors.Wrapf(ErrNotUUIDv7, "%q has version %d", id, parsed.Version())
	}
	return time.UnixMilli(unixMilli(parsed)), nil
}

// unixMilli reads the first 48 bits, which hold milliseconds of Unix time.
func unixMilli(id uuid.UUID) int64 {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}
