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

// Proposal is a settings tree that an operator wants accepted.
type Proposal struct {
	Text string
	// FileName only appears in messages.
	FileName string
	Author   string
	// Parent is the version that the text was built on, 0 for the first.
	Parent uint64
	// InEffect is the highest version that an instance reports in effect, 0 when
	// no instance runs.
	InEffect uint64
	// ConfirmInEffect returns nil once the version is in effect at every instance. It is
	// called only for changes that need it; nil refuses them.
	ConfirmInEffect func(ctx context.Context, number uint64) error
	Time            time.Time
}

// maxAuthorBytes keeps an author on one line of the history.
const maxAuthorBytes = 128

// validate parses the text and checks the author.
func (p Proposal) validate() (*settings.Tree, error) {
	if p.Author == "" || len(p.Author) > maxAuthorBytes || strings.ContainsFunc(p.Author, unicode.IsControl) {
		return nil, errors.Errorf("author %q is not valid; give 1 to %d printable bytes", p.Author, maxAuthorBytes)
	}
	return settings.Parse(p.Text, p.FileName)
}

// newVersion returns the version that the proposal becomes when it is accepted.
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
