package record

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
)

// testID returns a UUID version 7 with the given creation time.
func testID(created time.Time, sequence uint32) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(created.UnixMilli())<<16)
	binary.BigEndian.PutUint32(id[12:], sequence)
	id[6], id[8] = 0x70, 0x80
	return id.String()
}

// Guards against an ID without a creation time being accepted as one created long ago.
func TestCreatedAt(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_700_000_000_123)
	created, err := CreatedAt(testID(now, 7))
	is.NoErr(err)
	is.True(created.Equal(now))
	for _, bad := range []string{"", "17", uuid.Nil.String(), "f47ac10b-58cc-4372-a567-0e02b2c3d479"} {
		_, err := CreatedAt(bad)
		is.True(err != nil)
	}
}
