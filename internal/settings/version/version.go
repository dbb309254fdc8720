// Package version keeps the settings tree as numbered versions in the platform's
// store: codec, apply by compare-and-swap, and history.
package version

import (
	"fmt"
	"time"

	"peridotmoor.org/peridotmoor/internal/settings"
)

// Version is one accepted settings tree. It is immutable.
type Version struct {
	// Number rises with each accepted change.
	Number uint64 `json:"version"`
	// Parent is the number of the version that this one was built on, 0 for the first.
	Parent uint64 `json:"parent"`
	// WriteID is unique to one apply, so that a writer whose answer was lost
	// recognizes its own value.
	WriteID string `json:"write_id"`
	// Author is who applied it.
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	// SHA256 is the hexadecimal digest of Text.
	SHA256 string `json:"sha256"`
	Text   string `json:"text"`
}

// Tree parses the text. An error means that another release wrote a tree that
// this one refuses.
func (v Version) Tree() (*settings.Tree, error) {
	return settings.Parse(v.Text, v.FileName())
}

// FileName is how messages name the text of the version.
func (v Version) FileName() string {
	return fmt.Sprintf("version-%d", v.Number)
}

// String names the version, its author and its time in one line.
func (v Version) String() string {
	return fmt.Sprintf("version %d by %s at %s", v.Number, v.Author, v.Time.UTC().Format(time.RFC3339))
}
