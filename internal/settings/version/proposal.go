package version

import (
	"context"
	"strings"
	"time"
	"unicode"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/settings"
)

// Proposal is a settings tree that an operator submits as the next version.
type Proposal struct {
	Text string
	// FileName is used in messages only.
	FileName string
	Author   string
	// Parent is the version that the text was built on, 0 for the first.
	Parent uint64
	// InEffect is the highest version that an instance reports in effect, 0 if no instance
	// is running.
	InEffect uint64
	// ConfirmInEffect returns nil if the version is in effect at every instance. Apply calls
	// it for changes that require this; if the field is nil, they are refused.
	ConfirmInEffect func(ctx context.Context, number uint64) error
	Time            time.Time
}

// maxAuthorBytes is small enough for an author to fit on one line of the history.
const maxAuthorBytes = 128

// validate checks the author and parses the text.
func (p Proposal) validate() (*settings.Tree, error) {
	if p.Author == "" || len(p.Author) > maxAuthorBytes || strings.ContainsFunc(p.Author, unicode.IsControl) {
		return nil, errors.Errorf("author %q is not valid; give 1 to %d printable bytes", p.Author, maxAuthorBytes)
	}
	return settings.Parse(p.Text, p.FileName)
}

// newVersion returns the version to store for the proposal, with a new write ID.
func (p Proposal) newVersion() Version {
	return Version{
		Number:  p.Parent + 1,
		Parent:  p.Parent,
		WriteID: uuid.NewString(),
		Author:  p.Author,
		Time:    p.Time.UTC(),
		SHA256:  Digest(p.Text),
		Text:    p.Text,
	}
}
