// Package version stores settings trees as numbered versions in the platform's store. It
// encodes versions, applies new ones by compare-and-swap and keeps a history.
package version

import (
	"fmt"
	"time"

	"peridotmoor.org/peridotmoor/internal/settings"
)

// Version is one accepted settings tree. It is immutable.
type Version struct {
	// Number increases by one with each accepted change.
	Number uint64 `json:"version"`
	// Parent is the number of the version that this one was built on, 0 for the first.
	Parent uint64 `json:"parent"`
	// WriteID is unique to one call of Apply, so that a writer whose response was lost
	// recognizes its own version.
	WriteID string `json:"write_id"`
	// Author is the operator who applied the version.
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	// SHA256 is the hexadecimal SHA-256 of Text.
	SHA256 string `json:"sha256"`
	Text   string `json:"text"`
}

// Tree parses the text. An error means that the text was accepted by a release with
// other rules.
func (v Version) Tree() (*settings.Tree, error) {
	return settings.Parse(v.Text, v.FileName())
}

// FileName returns the name by which messages refer to the text of the version.
func (v Version) FileName() string {
	return fmt.Sprintf("version-%d", v.Number)
}

// String returns number, author and time in one line.
func (v Version) String() string {
	return fmt.Sprintf("version %d by %s at %s", v.Number, v.Author, v.Time.UTC().Format(time.RFC3339))
}
